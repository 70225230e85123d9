package sequencer

// loggedBatch is the requests of a batch that is in the log and not committed yet.
type loggedBatch struct {
	term     uint64
	requests []request
}
