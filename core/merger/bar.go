package merger

// bar is the time that a task waited in an agent's queue, or ran at the upstream.
type bar struct {
	X, Y, Width int
	Class       string
	Tooltip     string
}
