package dispatcher

// BecameFollower tells that this controller does not lead.
type BecameFollower struct{}
