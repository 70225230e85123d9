package merger

// arrow is a cause between two lanes.
type arrow struct {
	X1, Y1, X2, Y2 int
}
