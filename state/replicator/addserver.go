package replicator

// AddServer adds Server as a learner. The leader makes it a voter once it holds every committed entry, and then removes
// the server that it replaces. Proposed tells where the first of these changes is in the log.
type AddServer struct {
	Ticket Ticket
	Server Server // Voter is ignored
}

func (AddServer) event() {}
