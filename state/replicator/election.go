package replicator

import "time"

// resetElection schedules the next election between one and two election timeouts from now. The random part makes it
// unlikely that two servers campaign at the same time.
func (n *Node) resetElection() {
	timeout := n.Settings.ElectionTimeout
	n.electionDeadline = n.now.Add(timeout + time.Duration(n.Random.Int64N(int64(timeout))))
}

// mayCampaign reports whether this server is a voter. A voter whose removal is not committed still campaigns: if its log is
// the longest, it refuses its vote to all others, and they may be unable to elect a leader without that vote.
func (n *Node) mayCampaign() bool { return n.members.mayVote(n.Self, n.commit) }

// startPreVote asks whether the voters would elect this server before it starts an election, so that a server that was
// partitioned does not raise the term of the others.
func (n *Node) startPreVote() {
	n.resetElection()
	if !n.mayCampaign() {
		return
	}
	n.role, n.leader = PreCandidate, ServerID{}
	n.votes = make(map[ServerID]bool)
	n.requestVotes(n.state.Term+1, RequestVote{PreVote: true}, n.sendNow)
	n.countVote(n.Self)
}

// startElection campaigns in a new term. The vote requests are sent, and the server's vote for itself is counted, only
// once the term and the vote are durable.
func (n *Node) startElection(transfer bool) {
	n.resetElection()
	n.enterTerm(HardState{Term: n.state.Term + 1, Vote: n.Self})
	n.role = Candidate
	n.votes = make(map[ServerID]bool)
	n.requestVotes(n.state.Term, RequestVote{Transfer: transfer}, n.sendWhenDurable)
}

// sendNow sends a message of the given term without waiting for the disk.
func (n *Node) sendNow(to ServerID, term Term, message Message) {
	n.emit(Send{Envelope{From: n.Self, To: to, Term: term, Message: message}})
}

func (n *Node) requestVotes(term Term, request RequestVote, send func(ServerID, Term, Message)) {
	request.LastIndex, request.LastTerm = n.log.last(), n.log.lastTerm()
	for _, id := range n.members.current().voters {
		if id != n.Self {
			send(id, term, request)
		}
	}
}

// enterTerm enters a new term as a follower that knows no leader.
func (n *Node) enterTerm(state HardState) {
	n.stepDown(ServerID{})
	n.state = state
	n.verified, n.acknowledged, n.round = 0, 0, 0
	n.persist()
}

// stepDown makes the server a follower of leader, which may be zero, and refuses the proposals that are not in the log.
func (n *Node) stepDown(leader ServerID) {
	if n.lead != nil {
		for _, each := range n.lead.pending {
			n.emit(Refused{Ticket: each.ticket, Reason: NotLeader, Leader: leader})
		}
		n.lead = nil
		n.resetElection()
	}
	n.role, n.leader, n.votes = Follower, leader, nil
}

// boundToLeader reports whether a leader's lease may rely on this server not voting for another candidate.
func (n *Node) boundToLeader() bool {
	return n.role == Leader || n.now.Before(n.leaderContact.Add(n.Settings.ElectionTimeout))
}

func (n *Node) receiveRequestVote(from ServerID, term Term, request RequestVote) {
	if n.boundToLeader() && !request.Transfer {
		return
	}
	if request.PreVote {
		granted := term > n.state.Term && n.upToDate(request)
		if !granted {
			term = n.state.Term
		}
		n.sendWhenDurable(from, term, VoteReply{PreVote: true, Granted: granted})
		return
	}
	vote := n.state.Vote
	if term > n.state.Term {
		vote = ServerID{}
	}
	granted := term >= n.state.Term && (vote.IsZero() || vote == from) && n.upToDate(request)
	if granted {
		vote = from
		n.resetElection()
	}
	switch {
	case term > n.state.Term:
		n.enterTerm(HardState{Term: term, Vote: vote})
	case term == n.state.Term && vote != n.state.Vote:
		n.state.Vote = vote
		n.persist()
	}
	n.sendWhenDurable(from, n.state.Term, VoteReply{Granted: granted})
}

// upToDate reports whether the candidate's log contains every entry that this server may have helped to commit.
func (n *Node) upToDate(request RequestVote) bool {
	lastTerm := n.log.lastTerm()
	return request.LastTerm > lastTerm || request.LastTerm == lastTerm && request.LastIndex >= n.log.last()
}

func (n *Node) receiveVoteReply(from ServerID, term Term, reply VoteReply) {
	switch {
	case !reply.Granted:
	case reply.PreVote && n.role == PreCandidate && term == n.state.Term+1,
		!reply.PreVote && n.role == Candidate && term == n.state.Term:
		n.countVote(from)
	}
}

func (n *Node) countVote(id ServerID) {
	n.votes[id] = true
	voters, granted := n.members.current().voters, 0
	for _, voter := range voters {
		if n.votes[voter] {
			granted++
		}
	}
	switch {
	case granted <= len(voters)/2:
	case n.role == PreCandidate:
		n.startElection(false)
	case n.role == Candidate:
		n.becomeLeader()
	}
}
