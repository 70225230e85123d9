package merger

// mark is one event.
type mark struct {
	X, Y  int
	Class string
	Note  string
}
