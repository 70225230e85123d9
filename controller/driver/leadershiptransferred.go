package driver

// LeadershipTransferred answers TransferLeadership once another controller leads, or when this one can't transfer its leadership. It
// waits for the new leader so that the message that makes the other controller campaign has certainly been sent.
type LeadershipTransferred struct {
	Ticket uint64
	Detail string // why this controller still leads; empty when it does not
}
