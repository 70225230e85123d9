package sequencer

// Ticket identifies one batch that this controller gave to the log.
type Ticket uint64
