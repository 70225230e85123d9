package replicator

// RemoveServer removes a server. A leader that removes itself keeps leading until the change is committed.
type RemoveServer struct {
	Ticket Ticket
	ID     ServerID
}

func (RemoveServer) event() {}
