package replicator

// membersChanged schedules the MembershipChanged action and updates the leader's peers after the current list changed.
func (n *Node) membersChanged() {
	n.membersAnnounced = false
	if n.lead != nil {
		n.lead.setServers(n.members.current().servers, n.Self, n.log.last())
	}
}

// changePending reports whether the newest membership is not committed yet. Only one change may be pending: any majorities
// of two lists that differ by one voter share a server, while those of lists that differ more need not.
func (n *Node) changePending() bool { return n.members.current().index > n.commit }

// appendMembership appends an entry with a new server list and returns its index.
func (n *Node) appendMembership(servers []Server) Index {
	index := n.log.last() + 1
	n.appendEntries([]Entry{{Index: index, Term: n.state.Term, Kind: Membership, Servers: servers}})
	return index
}

func (n *Node) requestChange(ticket Ticket, reason Reason, servers []Server) {
	if refusal := n.refusalReason(); refusal != "" {
		reason = refusal
	} else if n.changePending() {
		reason = ChangePending
	}
	if reason != "" {
		n.refuse(ticket, reason)
		return
	}
	n.emit(Proposed{Ticket: ticket, Index: n.appendMembership(servers), Term: n.state.Term})
}

func (n *Node) addServer(event AddServer) {
	current, reason := n.members.current(), Reason("")
	if _, known := current.find(event.Server.ID); known {
		reason = KnownServer
	}
	if old := event.Server.Replaces; !old.IsZero() && !current.isVoter(old) {
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
	} else if current.isVoter(event.ID) && len(current.voters) == 1 {
		reason = LastVoter
	} else if n.role == Leader && !n.majorityResponsive(newMembership(0, current.without(event.ID))) {
		reason = NoMajority
	}
	n.requestChange(event.Ticket, reason, current.without(event.ID))
}

// majorityResponsive reports whether most voters of a list acknowledged a message within the lease. Without such a
// majority the list could be neither committed nor replaced by another one.
func (n *Node) majorityResponsive(list membership) bool {
	voters, count := list.voters, 0
	for _, id := range voters {
		if id == n.Self || n.responsive(n.lead.peer(id)) {
			count++
		}
	}
	return count > len(voters)/2
}

func (n *Node) responsive(peer *peer) bool {
	return peer != nil && n.now.Before(peer.ackedRoundStart.Add(n.Settings.Lease))
}

// continueChange takes the next step of pending additions: it promotes a learner or removes a replaced voter, one list at
// a time. A leader that is no longer a voter transfers the leadership.
func (n *Node) continueChange() {
	if !n.ready() || n.changePending() {
		return
	}
	current := n.members.current()
	if !current.isVoter(n.Self) {
		n.transferLeadership(n.bestSuccessor())
		return
	}
	for _, server := range current.servers {
		if server.Voter && current.isVoter(server.Replaces) {
			n.appendMembership(current.without(server.Replaces))
			return
		}
	}
	for _, server := range current.servers {
		if !server.Voter && n.caughtUp(server.ID) && n.wantsVoter(current, server) {
			server.Voter = true
			n.appendMembership(current.with(server))
			return
		}
	}
	if spare, found := n.spareVoter(current); found {
		spare.Voter = false
		n.appendMembership(current.with(spare))
	}
}

// spareVoter returns a voter to demote to a learner, if the number of voters is even, above MinVoters, and all of them respond. While
// a learner responds, its promotion is awaited instead.
func (n *Node) spareVoter(current membership) (Server, bool) {
	voters := len(current.voters)
	if n.Settings.MinVoters == 0 || voters <= n.Settings.MinVoters || voters%2 == 1 {
		return Server{}, false
	}
	var spare Server
	for _, server := range current.servers {
		switch responsive := n.responsive(n.lead.peer(server.ID)); {
		case server.ID == n.Self:
		case responsive != server.Voter:
			return Server{}, false
		case !server.Voter: // a lost learner
		default:
			spare = server
		}
	}
	return spare, !spare.ID.IsZero()
}

// wantsVoter reports whether a learner that has caught up becomes a voter now.
func (n *Node) wantsVoter(current membership, learner Server) bool {
	voters := len(current.voters)
	if voters < n.Settings.MinVoters || n.Settings.MinVoters == 0 || voters%2 == 0 || current.isVoter(learner.Replaces) {
		return true
	}
	ready := 0
	for _, server := range current.servers {
		if !server.Voter && n.caughtUp(server.ID) {
			ready++
		}
	}
	return ready > 1 || n.voterSilent(current)
}

// voterSilent reports whether a voter has acknowledged nothing for StandbyTimeout.
func (n *Node) voterSilent(current membership) bool {
	for _, id := range current.voters {
		if id == n.Self {
			continue
		}
		contact := n.lead.since
		if peer := n.lead.peer(id); peer != nil && peer.ackedRoundStart.After(contact) {
			contact = peer.ackedRoundStart
		}
		if n.now.After(contact.Add(n.Settings.StandbyTimeout)) {
			return true
		}
	}
	return false
}

// caughtUp reports whether a learner holds every committed entry and is responsive.
func (n *Node) caughtUp(id ServerID) bool {
	peer := n.lead.peer(id)
	return n.responsive(peer) && peer.match >= n.commit
}
