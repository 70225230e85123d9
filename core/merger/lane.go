package merger

// lane is the line of one process.
type lane struct {
	Name string
	Y    int
}
