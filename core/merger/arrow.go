package merger

// arrow is a causal link between two lanes of the drawing.
type arrow struct {
	X1, Y1, X2, Y2 int
}
