package replicator

// AddServer adds Server as a learner. The leader promotes the learner to a voter once its log holds every committed entry,
// and then removes the server that it replaces. Proposed reports the log position of the first of these changes.
type AddServer struct {
	Ticket Ticket
	Server Server // Voter is ignored
}

func (AddServer) event() {}
