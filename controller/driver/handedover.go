package driver

// HandedOver answers HandOver once this controller does not lead, or can't hand over.
type HandedOver struct {
	Ticket uint64
	Detail string // why this controller still leads; empty when it does not
}
