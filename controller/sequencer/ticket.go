package sequencer

// Ticket identifies one batch that this controller proposed to the log.
type Ticket uint64
