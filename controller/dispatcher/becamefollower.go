package dispatcher

// BecameFollower reports that this controller does not lead.
type BecameFollower struct{}
