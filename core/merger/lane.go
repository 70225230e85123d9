package merger

// lane is the horizontal line of one process in the drawing.
type lane struct {
	Name string
	Y    int
}
