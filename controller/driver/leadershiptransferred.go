package driver

// LeadershipTransferred answers HandOver once another controller leads, so that the message that makes it campaign has
// left, or when this one can't hand over.
type LeadershipTransferred struct {
	Ticket uint64
	Detail string // why this controller still leads; empty when it does not
}
