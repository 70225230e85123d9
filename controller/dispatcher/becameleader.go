package dispatcher

// BecameLeader reports that this controller leads from now on and has applied every earlier command.
type BecameLeader struct{ Term uint64 }
