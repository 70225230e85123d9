package sequencer

// BecameLeader reports that this controller leads and has applied every earlier entry.
type BecameLeader struct{}

func (BecameLeader) event() {}
