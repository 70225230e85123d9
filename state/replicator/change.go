package replicator

// membersChanged follows a change of the list in force.
func (n *Node) membersChanged() {
	n.membersTold = false
	if n.lead != nil {
		n.lead.setServers(n.members.current().servers, n.Self, n.log.last())
	}
}

// changing reports whether the newest membership is not committed. Two lists that differ by one voter have a common server in
// all their majorities; lists that are further apart need not.
func (n *Node) changing() bool { return n.members.current().index > n.commit }

// changeServers appends a new list and returns its index.
func (n *Node) changeServers(servers []Server) Index {
	index := n.log.last() + 1
	n.appendEntries([]Entry{{Index: index, Term: n.state.Term, Kind: Membership, Servers: servers}})
	return index
}

func (n *Node) requestChange(ticket Ticket, reason Reason, servers []Server) {
	if first := n.refusal(); first != "" {
		reason = first
	} else if n.changing() {
		reason = ChangePending
	}
	if reason != "" {
		n.refuse(ticket, reason)
		return
	}
	n.emit(Proposed{Ticket: ticket, Index: n.changeServers(servers), Term: n.state.Term})
}

func (n *Node) addServer(event AddServer) {
	current, reason := n.members.current(), Reason("")
	if _, known := current.find(event.Server.ID); known {
		reason = KnownServer
	}
	if old := event.Server.Replaces; !old.IsZero() && !current.votes(old) {
		reason = UnknownServer
	}
	server := event.Server
	server.Voter = false
	n.requestChange(event.Ticket, reason, current.with(server))
}

func (n *Node) removeServer(event RemoveServer) {
	current, reason := n.members.current(), Reason("")
	if _, known := current.find(event.ID); !known {
		reason = UnknownServer
	} else if current.votes(event.ID) && len(current.voters) == 1 {
		reason = LastVoter
	} else if n.role == Leader && !n.answering(newMembership(0, current.without(event.ID))) {
		reason = NoMajority
	}
	n.requestChange(event.Ticket, reason, current.without(event.ID))
}

// answering reports whether most voters of a list answered within the lease. A list without such a majority
// could not be committed, nor replaced by another one.
func (n *Node) answering(list membership) bool {
	voters, count := list.voters, 0
	for _, id := range voters {
		if id == n.Self || n.answers(n.lead.peer(id)) {
			count++
		}
	}
	return count > len(voters)/2
}

func (n *Node) answers(peer *peer) bool {
	return peer != nil && n.now.Before(peer.acked.Add(n.Settings.Lease))
}

// continueChange takes the next step of additions under way, one committed list at a time.
func (n *Node) continueChange() {
	if !n.ready() || n.changing() {
		return
	}
	current := n.members.current()
	if !current.votes(n.Self) {
		n.handOver(n.best())
		return
	}
	for _, server := range current.servers {
		if server.Voter && current.votes(server.Replaces) {
			n.changeServers(current.without(server.Replaces))
			return
		}
		if !server.Voter && n.caughtUp(server.ID) {
			server.Voter = true
			n.changeServers(current.with(server))
			return
		}
	}
}

// caughtUp reports whether a learner holds every committed entry and answers.
func (n *Node) caughtUp(id ServerID) bool {
	peer := n.lead.peer(id)
	return n.answers(peer) && peer.match >= n.commit
}
