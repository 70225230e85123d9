package replicator

import "time"

// electionSpread is the divisor that gives the random part of the wait for an election as a part of the election timeout.
const electionSpread = 2

// resetElection schedules the next election an election timeout and a random part from now. The random part makes it unlikely that two
// servers campaign at the same time.
func (n *Node) resetElection() {
	timeout := n.Settings.ElectionTimeout
	n.electionDeadline = n.now.Add(timeout + time.Duration(n.Random.Int64N(int64(timeout)/electionSpread)))
}

// retryPreVote schedules the next pre-vote one to two heartbeats from now. A pre-vote changes no term, so it can be repeated until the
// others may vote.
func (n *Node) retryPreVote() {
	n.electionDeadline = n.now.Add(n.Settings.Heartbeat + time.Duration(n.Random.Int64N(int64(n.Settings.Heartbeat))))
}

// mayCampaign reports whether this server is a voter. A voter whose removal is not committed still campaigns: if its log is
// the longest, it refuses its vote to all others, and they may be unable to elect a leader without that vote.
func (n *Node) mayCampaign() bool { return n.members.mayVote(n.Self, n.commit) }

// startPreVote asks whether the voters would elect this server before it starts an election, so that a server that was
// partitioned does not raise the term of the others.
func (n *Node) startPreVote() {
	n.retryPreVote()
	if !n.mayCampaign() {
		return
	}
	if !n.now.Before(n.insistUntil.Add(n.Settings.ElectionTimeout)) {
		n.insistUntil = n.now.Add(insistHeartbeats * n.Settings.Heartbeat)
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
	n.enterTerm(n.state.Term+1, n.Self)
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

// enterTerm enters a new term as a follower that knows no leader, and votes for the given server unless it is zero.
func (n *Node) enterTerm(term Term, vote ServerID) {
	n.stepDown(ServerID{})
	n.state.Term, n.state.Vote = term, vote
	if !vote.IsZero() {
		n.state = n.state.follow(vote)
	}
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

// boundToLeader reports whether a leader's lease may rely on this server not voting for another candidate. Only the lease of the last
// leader that it followed may: a later leader is not elected before the leases of the earlier ones have ended.
func (n *Node) boundToLeader() bool {
	return n.role == Leader || !n.leaderGone && n.now.Before(n.leaderContact.Add(n.Settings.ElectionTimeout))
}

// follow stores the leader that this server accepts, before it acknowledges anything to it.
func (n *Node) follow(leader ServerID) {
	n.leaderGone = false
	if n.state.Leader != leader || n.state.LeaderTerm != n.state.Term {
		n.state = n.state.follow(leader)
		n.persist()
	}
}

// noteCandidate concludes from a request for votes that its sender does not lead. A server that leads a term has done so since it entered
// the term, and it campaigns in a later one only after it has stepped down or has been restarted.
func (n *Node) noteCandidate(from ServerID, term Term) {
	if from == n.state.Leader && term > n.state.LeaderTerm {
		n.leaderGone = true
	}
}

// noteReplaced concludes that the last leader does not lead any more, from a message of the server that has replaced it.
func (n *Node) noteReplaced(by ServerID, disk uint64) {
	if replaced := (ServerID{Name: by.Name, Disk: disk}); replaced == n.state.Leader && by != replaced {
		n.leaderGone = true
	}
}

// answerForReplaced answers a request for votes to a server of this name whose disk is lost.
func (n *Node) answerForReplaced(envelope Envelope) {
	if _, ok := envelope.Message.(RequestVote); ok && envelope.To.Name == n.Self.Name && envelope.valid() {
		n.emit(Send{Envelope{From: n.Self, To: envelope.From, Message: VoteReply{PreVote: true, Replaced: true, ReplacedDisk: envelope.To.Disk}}})
	}
}

// insistHeartbeats is the number of heartbeats for which a server insists on its own pre-votes. It is enough for their answers.
const insistHeartbeats = 2

// prefers reports whether another server with a log that is not shorter should win an election rather than this one.
func (n *Node) prefers(from ServerID, request RequestVote) bool {
	return request.LastTerm > n.log.lastTerm() || request.LastIndex > n.log.last() || from.Compare(n.Self) < 0
}

// yield makes a server that asks for pre-votes give way to a preferred one that does so too, so that they do not split the votes. It does so
// once in an election timeout, because the other one may be unable to win.
func (n *Node) yield(from ServerID, request RequestVote) {
	if n.role == Leader || n.role == Candidate || !n.prefers(from, request) || n.now.Before(n.yieldedAt.Add(n.Settings.ElectionTimeout)) {
		return
	}
	n.yieldedAt = n.now
	if n.role == PreCandidate {
		n.role, n.votes = Follower, nil
	}
	if after := n.now.Add(2 * n.Settings.Heartbeat); n.electionDeadline.Before(after) {
		n.retryPreVote()
		n.electionDeadline = n.electionDeadline.Add(n.Settings.Heartbeat)
	}
}

func (n *Node) receiveRequestVote(from ServerID, term Term, request RequestVote) {
	n.noteCandidate(from, term)
	if n.boundToLeader() && !request.Transfer {
		return
	}
	if request.PreVote && n.role == PreCandidate && n.now.Before(n.insistUntil) && n.upToDate(request) && !n.prefers(from, request) {
		return // if both were granted, the two would split the votes
	}
	if request.PreVote {
		granted := term > n.state.Term && n.upToDate(request)
		if granted {
			n.yield(from, request)
		} else {
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
		n.enterTerm(term, vote)
	case term == n.state.Term && vote != n.state.Vote:
		n.state.Vote = vote
		n.state = n.state.follow(vote)
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
		if !n.boundToLeader() { // its own vote counts among the granted ones
			n.startElection(false)
		}
	case n.role == Candidate:
		n.becomeLeader()
	}
}
