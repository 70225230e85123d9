package replicator

import (
	"slices"
	"time"
)

// start loads the recovered state. The start is treated as contact with a leader: before the restart, this server may have
// acknowledged a leader whose lease relies on no vote for another candidate within an election timeout. The first pre-vote is requested
// at once: it tells the others that this server does not lead.
func (n *Node) start() {
	n.started = true
	n.state = n.Recovered.State
	n.leaderContact = n.now
	n.electionDeadline = n.now.Add(time.Duration(n.Random.Int64N(int64(n.Settings.Heartbeat))))
	n.snapshot = n.Recovered.Snapshot
	n.commit, n.applied = n.snapshot.Index, n.snapshot.Index
	n.log.reset(n.snapshot.Index, n.snapshot.Term)
	if n.snapshot.Index > 0 {
		n.members.reset(n.snapshot)
	}
	n.recoverEntries()
	n.Recovered = Recovered{}
	n.synced = n.log.last()
	if lastTerm := n.log.lastTerm(); lastTerm > n.state.Term {
		// The log was stored but the term was not, so this server cannot have sent a vote in that term.
		n.state = HardState{Term: lastTerm}
		n.persist()
	}
	// A version that does not store Leader may have accepted a later one.
	known := n.state.LeaderTerm > 0 && n.state.LeaderTerm >= n.log.lastTerm()
	n.leaderGone = n.state.Term == 0 || known && (n.state.Leader.IsZero() || n.state.Leader == n.Self)
	if !known {
		n.state.Leader, n.state.LeaderTerm = ServerID{}, 0
	}
}

// recoverEntries loads the entries after the snapshot. If the stored log does not contain the snapshot's entry, a crash
// interrupted a Restore, and the Restore is emitted again.
func (n *Node) recoverEntries() {
	entries := n.Recovered.Entries
	if len(entries) == 0 {
		if n.snapshot.Index > 0 {
			n.emit(Restore{Write: n.nextWrite(), Snapshot: n.snapshot})
		}
		return
	}
	skip := int(n.snapshot.Index + 1 - entries[0].Index)
	if skip > len(entries) || skip > 0 && entries[skip-1].Term != n.snapshot.Term {
		n.emit(Restore{Write: n.nextWrite(), Snapshot: n.snapshot})
		return
	}
	n.log.append(entries[skip:]...)
	n.members.add(entries[skip:])
}

func (n *Node) bootstrap(servers []Server) {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return a.ID.Compare(b.ID) })
	// After a crash during an earlier Bootstrap, term 1 may be stored without the entry. No leader has term 1.
	if n.state.Term > 1 || n.log.last() > 0 || !newMembership(0, servers).isVoter(n.Self) {
		return
	}
	n.state = HardState{Term: 1, LeaderTerm: 1}
	n.persist()
	n.appendEntries([]Entry{{Index: 1, Term: 1, Kind: Membership, Servers: servers}})
}
