package sequencer

// Logged reports where in the log a submitted batch is; it is not committed yet.
type Logged struct {
	Ticket Ticket
	Index  uint64
	Term   uint64
}

func (Logged) event() {}
