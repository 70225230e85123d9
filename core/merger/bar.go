package merger

// bar is the time that a task waited in an agent's queue, or ran.
type bar struct {
	X, Y, Width int
	Class       string
	Note        string
}
