package replicator

// receive handles a message. A newer term makes this server a follower. Exceptions are a RequestVote, which
// receiveRequestVote may ignore, and the granted reply to a pre-vote, because no server has entered its term.
func (n *Node) receive(envelope Envelope) {
	if envelope.To != n.Self {
		n.answerForReplaced(envelope)
		return
	}
	if !envelope.valid() {
		return
	}
	from, term := envelope.From, envelope.Term
	switch message := envelope.Message.(type) {
	case RequestVote:
		n.receiveRequestVote(from, term, message)
	case VoteReply:
		if message.Replaced {
			n.noteReplaced(from, message.ReplacedDisk)
			return
		}
		if !message.PreVote || !message.Granted {
			n.adoptTerm(term)
		}
		n.receiveVoteReply(from, term, message)
	case AppendEntries:
		if n.acceptLeader(from, term) {
			n.receiveAppend(from, message)
		}
	case InstallSnapshot:
		if n.acceptLeader(from, term) {
			n.receiveSnapshot(from, message)
		}
	case AppendReply:
		n.adoptTerm(term)
		if n.role == Leader && term == n.state.Term {
			n.receiveAppendReply(from, message)
		}
	case TimeoutNow:
		// The sender led this term and has stepped down, so its lease no longer prevents a vote.
		if term == n.state.Term && n.role != Leader && n.role != Candidate && n.mayCampaign() {
			n.startElection(true)
		}
	}
}

func (n *Node) adoptTerm(term Term) {
	if term > n.state.Term {
		n.enterTerm(term, ServerID{})
	}
}

// acceptLeader accepts from as the leader of term, or rejects its message if this server has a newer term. It reports
// whether the message is to be handled.
func (n *Node) acceptLeader(from ServerID, term Term) bool {
	if term < n.state.Term {
		n.sendWhenDurable(from, n.state.Term, AppendReply{Rejected: true})
		return false
	}
	n.adoptTerm(term)
	if n.role == Leader {
		return false
	}
	if n.role != Follower || n.leader != from {
		n.stepDown(from)
	}
	n.follow(from)
	n.leaderContact = n.now
	n.resetElection()
	return true
}

func (n *Node) receiveAppend(from ServerID, message AppendEntries) {
	n.round = max(n.round, message.Round)
	prev, prevTerm, entries := message.PrevIndex, message.PrevTerm, message.Entries
	if prev < n.log.base {
		// Entries up to the base are committed and therefore equal in every leader's log.
		covered := min(int(n.log.base-prev), len(entries))
		prev, entries = prev+Index(covered), entries[covered:]
		prevTerm, _ = n.log.term(prev)
	}
	if ownTerm, found := n.log.term(prev); prev >= n.log.base && (!found || ownTerm != prevTerm) {
		n.reject(from, message)
		return
	}
	last := prev + Index(len(entries))
	n.appendMissing(entries)
	n.verified = max(n.verified, last)
	n.commit = max(n.commit, min(message.Commit, n.verified))
	if len(message.Entries) == 0 || n.synced >= last {
		n.sendAck()
	}
}

// appendMissing appends the entries that the log does not contain, after it has removed conflicting ones.
func (n *Node) appendMissing(entries []Entry) {
	for i, entry := range entries {
		ownTerm, found := n.log.term(entry.Index)
		if found && ownTerm == entry.Term {
			continue
		}
		if found {
			n.truncate(entry.Index)
		}
		n.appendEntries(entries[i:])
		return
	}
}

func (n *Node) reject(from ServerID, message AppendEntries) {
	hint := n.log.lastPossibleMatch(message.PrevIndex-1, message.PrevTerm)
	term, _ := n.log.term(hint)
	n.sendWhenDurable(from, n.state.Term, AppendReply{Round: n.round, Match: min(n.synced, n.verified), Rejected: true,
		PrevIndex: message.PrevIndex, Hint: hint, HintTerm: term})
}

func (n *Node) receiveSnapshot(from ServerID, message InstallSnapshot) {
	n.round = max(n.round, message.Round)
	snapshot := message.Snapshot
	if term, found := n.log.term(snapshot.Index); snapshot.Index > n.commit {
		if found && term == snapshot.Term {
			n.commit = snapshot.Index
		} else {
			n.restore(snapshot)
		}
	}
	n.verified = max(n.verified, snapshot.Index)
	n.sendAck()
}

// sendAck acknowledges the entries that are both synced and equal to the leader's log.
func (n *Node) sendAck() {
	n.acknowledged = min(n.synced, n.verified)
	n.sendWhenDurable(n.leader, n.state.Term, AppendReply{Round: n.round, Match: n.acknowledged})
}

// acknowledge sends one acknowledgement for all entries that became durable since the last one.
func (n *Node) acknowledge() {
	if n.role == Follower && !n.leader.IsZero() && min(n.synced, n.verified) > n.acknowledged {
		n.sendAck()
	}
}
