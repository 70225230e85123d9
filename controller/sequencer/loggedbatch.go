package sequencer

// loggedBatch is what waits for the log to commit at an index.
type loggedBatch struct {
	term     uint64
	requests []request
}
