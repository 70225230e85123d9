package replicator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// assertVote sends h the vote request of an up-to-date candidate that h has not followed, and fails the test unless h's decision is granted.
func assertVote(t *testing.T, c *cluster, h *host, request RequestVote, granted bool) {
	t.Helper()
	request.LastIndex, request.LastTerm = 1000, 1000
	term := h.node.Term() + 1
	from := others(c, h)[0].id
	if from == h.node.state.Leader {
		from = others(c, h)[1].id
	}
	c.step(h, Received{Envelope: Envelope{From: from, To: h.id, Term: term, Message: request}})
	must.Eq(t, granted, h.node.Term() == term && h.node.state.Vote == from)
}

// Guards against a follower that votes while a leader's lease relies on it not to, and against a vote that a crash revokes.
func TestFollowerKeepsItsGuarantee(t *testing.T) {
	t.Run("no vote within an election timeout of a heartbeat", func(t *testing.T) {
		c, leader := startCluster(t, 3)
		assertVote(t, c, others(c, leader)[0], RequestVote{}, false)
	})
	t.Run("a restart does not allow an earlier vote", func(t *testing.T) {
		c, leader := startCluster(t, 3)
		follower := others(c, leader)[0]
		c.crash(follower, 0)
		c.startHost(follower)
		assertVote(t, c, follower, RequestVote{}, false)
		c.now = c.now.Add(2 * c.settings.ElectionTimeout)
		assertVote(t, c, follower, RequestVote{}, true)
	})
	t.Run("a leadership transfer allows a vote at once", func(t *testing.T) {
		c, leader := startCluster(t, 3)
		assertVote(t, c, others(c, leader)[0], RequestVote{Transfer: true}, true)
	})
	t.Run("a vote is sent only once it is durable", func(t *testing.T) {
		c, leader := startCluster(t, 3)
		follower := others(c, leader)[0]
		c.now = c.now.Add(2 * c.settings.ElectionTimeout)
		assertVote(t, c, follower, RequestVote{}, true)
		must.SliceEmpty(t, c.packets)
		c.sync(follower, len(follower.disk.queue))
		must.SliceLen(t, 1, c.packets)
	})
}

// Guards against a lease that outlasts the time in which the followers vote for no other candidate. A lease measured from
// the arrival of a late reply would do so.
func TestLeaseCountsFromSending(t *testing.T) {
	c, leader := startCluster(t, 3)
	for len(c.packets) == 0 {
		c.advance(time.Second)
	}
	sent := leader.clock(c.now)
	for n := len(c.packets); n > 0; n-- {
		c.deliver(c.removePacket(0))
	}
	answers := c.packets
	c.now = c.now.Add(300 * time.Millisecond)
	for _, p := range answers {
		c.deliver(p)
	}
	must.True(t, leader.node.Leading(sent.Add(c.settings.Lease-1)))
	must.False(t, leader.node.Leading(sent.Add(c.settings.Lease)))
}

// Guards against a leader that commits an entry of an earlier term because a majority holds copies: a later leader without
// that entry could still be elected.
func TestCommitNeedsEntryOfOwnTerm(t *testing.T) {
	c, leader := startCluster(t, 3)
	n, commit := leader.node, leader.node.commit
	old := n.log.last() + 1
	n.appendEntries([]Entry{{Index: old, Term: n.Term(), Kind: Data, Data: make([]byte, 8)}})
	n.finishStep()
	n.startElection(false)
	n.finishStep()
	n.Step(leader.clock(c.now), Synced{Write: n.lastIssued})
	n.becomeLeader()
	n.finishStep()
	n.Step(leader.clock(c.now), Synced{Write: n.lastIssued})
	reply := Envelope{From: others(c, leader)[0].id, To: leader.id, Term: n.Term(), Message: AppendReply{Match: old}}
	n.Step(leader.clock(c.now), Received{Envelope: reply})
	must.Eq(t, commit, n.commit)
	reply.Message = AppendReply{Match: old + 1}
	n.Step(leader.clock(c.now), Received{Envelope: reply})
	must.Eq(t, old+1, n.commit)
}

// Guards against a late Synced for a write whose entries were truncated: it must not mark the entries that replaced them as
// synced.
func TestLateSyncDoesNotCountAfterTruncation(t *testing.T) {
	c, leader := startCluster(t, 3)
	follower := others(c, leader)[0]
	n, now, prev, term := follower.node, follower.clock(c.now), follower.node.log.last(), follower.node.log.lastTerm()
	deliver := func(from ServerID, at Term, index Index, of Term) Write {
		entry := Entry{Index: index, Term: of, Kind: Blank}
		n.Step(now, Received{Envelope{From: from, To: follower.id, Term: at,
			Message: AppendEntries{PrevIndex: prev, PrevTerm: term, Entries: []Entry{entry}}}})
		return n.lastIssued
	}
	first := deliver(leader.id, term+1, prev+1, term+1)
	second := deliver(others(c, leader)[1].id, term+2, prev+1, term+2)
	n.Step(now, Synced{Write: first})
	must.Eq(t, prev, n.synced)
	n.Step(now, Synced{Write: second})
	must.Eq(t, prev+1, n.synced)
}

// Guards against a cluster that can elect no leader because the voter with the longest log does not campaign: its own
// removal is in its log, but not committed. Found by seed 143 of an earlier generator of schedules.
func TestRemovedVoterWithLongestLogCampaigns(t *testing.T) {
	c, leader := startCluster(t, 4)
	rest := others(c, leader)
	c.crash(rest[0], 0)
	rest[0].diskLost = true
	for _, other := range rest[1:] {
		c.blocked[[2]ServerID{leader.id, other.id}] = true
	}
	c.step(leader, RemoveServer{ID: leader.id})
	must.True(t, leader.node.changePending())
	c.sync(leader, len(leader.disk.queue))
	c.runWithoutFaults(5*time.Second, func() bool { return leader.node.Role() != Leader })
	c.heal()
	assertVoters(t, c, rest...)
	assertCommits(t, c, 1)
}

// Guards against a removal that leaves too few responsive voters to commit any entry. Found by seed 2821 of an earlier
// generator of schedules.
func TestRemovalWithoutMajorityIsRefused(t *testing.T) {
	c, leader := startCluster(t, 3)
	rest := others(c, leader)
	c.crash(rest[0], 0)
	c.runWithoutFaults(time.Second, func() bool { return false })
	c.step(leader, RemoveServer{ID: rest[1].id})
	must.Eq(t, []Refused{{Reason: NoMajority, Leader: leader.id}}, c.refused)
	c.step(leader, RemoveServer{ID: rest[0].id})
	assertVoters(t, c, leader, rest[1])
}
