package replicator

import (
	"cmp"
	"time"
)

// becomeLeader appends a blank entry, because entries of earlier terms are committed only together with one of this term.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.Self, nil
	n.lead = &leadership{since: n.now, firstIndex: n.log.last() + 1}
	n.lead.rounds.begin(n.now, n.now)
	n.lead.heartbeatAt = n.now.Add(n.Settings.Heartbeat)
	n.lead.setServers(n.members.current().servers, n.Self, n.log.last()+1)
	n.appendEntries([]Entry{{Index: n.log.last() + 1, Term: n.state.Term, Kind: Blank}})
}

// ready reports whether this server leads and has applied the blank entry of its term, and thus all earlier entries.
func (n *Node) ready() bool { return n.role == Leader && n.applied >= n.lead.firstIndex }

// quorumContact returns the start of the newest round that a majority acknowledged.
func (n *Node) quorumContact(now time.Time) time.Time {
	var times []time.Time
	for _, id := range n.members.current().voters {
		if id == n.Self {
			times = append(times, now)
		} else if peer := n.lead.peer(id); peer != nil {
			times = append(times, peer.ackedRoundStart)
		}
	}
	return majority(times, time.Time.Compare)
}

// leaseEnd returns when the lease ends, measured from when the acknowledged messages were sent. A server that acknowledged
// a message votes for no other candidate for an election timeout after the message arrived. That period is longer than the
// lease and starts later, so the lease ends first.
func (n *Node) leaseEnd(now time.Time) time.Time { return n.quorumContact(now).Add(n.Settings.Lease) }

// quorumDeadline returns when the leader steps down unless a majority acknowledges another message.
func (n *Node) quorumDeadline() time.Time {
	contact := n.quorumContact(n.now)
	if contact.Before(n.lead.since) {
		contact = n.lead.since
	}
	return contact.Add(n.Settings.ElectionTimeout)
}

func (n *Node) nextLeader() time.Time {
	next := n.lead.heartbeatAt
	for _, deadline := range []time.Time{n.quorumDeadline(), n.lead.transferDeadline} {
		if !deadline.IsZero() && deadline.Before(next) {
			next = deadline
		}
	}
	return next
}

func (n *Node) expireLeader() {
	if !n.quorumDeadline().After(n.now) {
		n.stepDown(ServerID{})
		return
	}
	if deadline := n.lead.transferDeadline; !deadline.IsZero() && !deadline.After(n.now) {
		n.lead.transferDeadline = time.Time{}
	}
	if n.lead.heartbeatAt.After(n.now) {
		return
	}
	if target := n.bestSuccessor(); (n.diskStalled() || n.snapshotStalled()) && !target.IsZero() {
		n.transferLeadership(target)
		return
	}
	n.lead.heartbeatAt = n.now.Add(n.Settings.Heartbeat)
	n.lead.rounds.begin(n.now, n.now.Add(-n.Settings.ElectionTimeout))
	for _, peer := range n.lead.peers {
		n.heartbeat(peer)
	}
}

// diskStalled reports whether the oldest disk write has been pending for an election timeout or longer. Proposals wait for the
// leader's own disk, so a leader with a stalled disk would stop the cluster although it still sends heartbeats.
func (n *Node) diskStalled() bool {
	return len(n.pendingWrites) > 0 && !n.now.Before(n.pendingWrites[0].issuedAt.Add(n.Settings.ElectionTimeout))
}

// snapshotStallTimeouts is how many election timeouts a full log may wait for its snapshot. A large state on a slow disk takes seconds.
const snapshotStallTimeouts = 10

// snapshotStalled reports whether the log has refused proposals for long because the leader's snapshot is not saved. Another server may have
// saved its own.
func (n *Node) snapshotStalled() bool {
	since := n.lead.fullSince
	return !since.IsZero() && !n.now.Before(since.Add(snapshotStallTimeouts*n.Settings.ElectionTimeout))
}

// heartbeat sends an AppendEntries without entries. To a streaming peer, the message names the last entry sent, so that
// the peer detects the loss of that entry even if no other entry follows.
func (n *Node) heartbeat(peer *peer) {
	peer.paused = false
	prev := peer.next - 1
	term, found := n.log.term(prev)
	switch {
	case peer.state == probing && found:
		return // replicate sends a probe instead
	case peer.state == snapshotting || !found:
		prev, term = 0, 0
	}
	n.sendEntries(peer, prev, term, nil)
}

func (n *Node) sendEntries(peer *peer, prev Index, term Term, entries []Entry) {
	n.send(peer.id, AppendEntries{Round: n.lead.rounds.current(), PrevIndex: prev, PrevTerm: term,
		Commit: n.commit, Entries: entries})
}

// replicate sends each peer the entries that it lacks, within the limit of messages in flight.
func (n *Node) replicate() {
	for _, peer := range n.lead.peers {
		for n.replicateTo(peer) {
		}
	}
}

// replicateTo sends at most one message and reports whether another one may follow.
func (n *Node) replicateTo(peer *peer) bool {
	if peer.state == snapshotting || peer.state == probing && peer.paused {
		return false
	}
	term, found := n.log.term(peer.next - 1)
	if !found {
		n.sendSnapshot(peer)
		return false
	}
	if peer.state == probing {
		// A probe carries no entries because every heartbeat repeats it while the peer is unreachable.
		peer.paused = true
		n.sendEntries(peer, peer.next-1, term, nil)
		return false
	}
	if peer.next > n.log.last() || len(peer.inflight) >= n.Settings.MaxInflight {
		return false
	}
	entries := n.log.batch(peer.next, n.Settings.MaxAppend)
	n.sendEntries(peer, peer.next-1, term, entries)
	peer.next += Index(len(entries))
	peer.inflight = append(peer.inflight, peer.next-1)
	return true
}

func (n *Node) sendSnapshot(peer *peer) {
	peer.state, peer.inflight, peer.snapshotIndex = snapshotting, nil, n.snapshot.Index
	message := InstallSnapshot{Round: n.lead.rounds.current(), Snapshot: n.snapshot}
	envelope := Envelope{From: n.Self, To: peer.id, Term: n.state.Term, Message: message}
	n.emit(SendSnapshot{Envelope: envelope, Snapshot: n.snapshot})
}

// snapshotSent resumes replication after the snapshot. After a failed transfer, probing starts with the next heartbeat.
func (n *Node) snapshotSent(event SnapshotSent) {
	if n.role != Leader {
		return
	}
	peer := n.lead.peer(event.To)
	if peer == nil || peer.state != snapshotting || peer.snapshotIndex != event.Index {
		return
	}
	if event.Failed {
		peer.probe(peer.match + 1)
		peer.paused = true
		return
	}
	peer.probe(event.Index + 1)
}

func (n *Node) receiveAppendReply(from ServerID, reply AppendReply) {
	peer := n.lead.peer(from)
	if peer == nil || reply.Match > n.log.last() {
		return
	}
	if start := n.lead.rounds.startOf(reply.Round); start.After(peer.ackedRoundStart) {
		peer.ackedRoundStart = start
	}
	if !reply.Rejected {
		peer.acknowledge(reply.Match)
		return
	}
	peer.match = max(peer.match, reply.Match)
	applicable := peer.state == streaming && reply.PrevIndex > peer.match ||
		peer.state == probing && reply.PrevIndex == peer.next-1
	if applicable {
		peer.probe(n.log.lastPossibleMatch(reply.Hint, reply.HintTerm) + 1)
	}
}

// advanceCommit commits the entries that a majority of voters holds on disk. The leader's own copy counts only once synced.
func (n *Node) advanceCommit() {
	var matches []Index
	for _, id := range n.members.current().voters {
		if id == n.Self {
			matches = append(matches, n.synced)
		} else if peer := n.lead.peer(id); peer != nil {
			matches = append(matches, peer.match)
		}
	}
	index := majority(matches, cmp.Compare[Index])
	if term, found := n.log.term(index); index <= n.commit || !found || term != n.state.Term {
		return
	}
	for _, entry := range n.log.slice(n.commit+1, index) {
		n.lead.uncommittedBytes -= len(entry.Data)
	}
	n.lead.uncommittedBytes = max(n.lead.uncommittedBytes, 0)
	n.commit = index
}
