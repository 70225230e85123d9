package driver

// HandOver asks a leader to give its leadership to another voter, before a planned stop.
type HandOver struct {
	Ticket uint64
}
