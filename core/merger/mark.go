package merger

// mark is one event in the drawing.
type mark struct {
	X, Y    int
	Class   string
	Tooltip string
}
