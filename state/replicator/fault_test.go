package replicator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startCluster starts a cluster with the given number of voters. It returns the cluster and its leader, which has applied
// one proposal.
func startCluster(t *testing.T, voters int) (*cluster, *host) {
	t.Helper()
	c := newCluster(voters, 1, testSettings())
	assertReached(t, c, func() bool { return c.leading() != nil })
	assertCommits(t, c, 1)
	return c, c.leading()
}

// assertReached fails the test unless done returns true within 10 s of the cluster's time.
func assertReached(t *testing.T, c *cluster, done func() bool) {
	t.Helper()
	reached := c.runWithoutFaults(10*time.Second, done)
	must.NoError(t, c.err)
	must.True(t, reached)
}

// assertCommits proposes count values and fails the test unless the leader applies them.
func assertCommits(t *testing.T, c *cluster, count int) {
	t.Helper()
	for range count {
		leader := c.leading()
		must.NotNil(t, leader)
		c.propose(leader)
		last := leader.node.log.last()
		assertReached(t, c, func() bool { return leader.applied >= last && leader.node.synced == leader.node.log.last() })
	}
}

// assertAllApplied fails the test unless all members apply the leader's whole log.
func assertAllApplied(t *testing.T, c *cluster) {
	t.Helper()
	s := &schedule{cluster: c}
	assertReached(t, c, func() bool { leader := c.leading(); return leader != nil && s.allApplied(leader) })
}

func assertVoters(t *testing.T, c *cluster, want ...*host) {
	t.Helper()
	assertReached(t, c, func() bool {
		leader := c.leading()
		return leader != nil && !leader.node.changePending() && len(leader.node.members.current().voters) == len(want)
	})
	for _, h := range want {
		must.True(t, c.leading().node.members.current().isVoter(h.id))
	}
}

func others(c *cluster, h *host) []*host {
	var rest []*host
	for _, other := range c.hosts {
		if other != h {
			rest = append(rest, other)
		}
	}
	return rest
}

// Guards against a partitioned leader that answers with outdated state after another leader was elected.
func TestIsolatedLeaderStopsAnsweringFirst(t *testing.T) {
	c, old := startCluster(t, 3)
	c.isolate(old)
	// A proposal that the isolated leader still accepts must never be applied.
	c.propose(old)
	assertReached(t, c, func() bool { return !old.node.Leading(old.clock(c.now)) })
	for _, other := range others(c, old) {
		must.NotEq(t, Leader, other.node.Role())
	}
	assertReached(t, c, func() bool { return c.leading() != nil && c.leading() != old })
	assertCommits(t, c, 3)
	c.heal()
	assertAllApplied(t, c)
	must.Eq(t, c.leading().id, old.node.Leader())
}

// Guards against the loss of committed entries when a second server fails right after a lost one was replaced.
func TestSecondLossAfterRepair(t *testing.T) {
	for name, second := range map[string]int{"leader lost next": 0, "other server lost next": 1} {
		t.Run(name, func(t *testing.T) {
			c, leader := startCluster(t, 3)
			lost := others(c, leader)[0]
			c.crash(lost, 0)
			lost.diskLost = true
			assertCommits(t, c, 20)
			added := c.addHost(lost.id.Name)
			c.step(leader, AddServer{Server: Server{ID: added.id, Replaces: lost.id}})
			survivors := []*host{leader, others(c, leader)[1], added}
			assertVoters(t, c, survivors...)
			committed := len(c.invariants.history)
			c.crash(survivors[second], 0)
			survivors[second].diskLost = true
			assertReached(t, c, func() bool { return c.leading() != nil && c.leading() != survivors[second] })
			must.GreaterEq(t, Index(committed-1), c.leading().applied)
			assertCommits(t, c, 3)
		})
	}
}

// Guards against a host that lost its disk and then helps to elect a leader that lacks the entries which the host had
// acknowledged.
func TestEmptyDiskDoesNotVote(t *testing.T) {
	c, leader := startCluster(t, 3)
	behind, lost := others(c, leader)[0], others(c, leader)[1]
	c.crash(behind, 0)
	assertCommits(t, c, 2)
	c.crash(leader, 0)
	c.crash(lost, 0)
	lost.diskLost = true
	returned := c.addHost(lost.id.Name)
	c.startHost(behind)
	request := RequestVote{LastIndex: behind.node.log.last(), LastTerm: behind.node.log.lastTerm()}
	t.Run("the host only tells that it has replaced its former identity", func(t *testing.T) {
		c.now = c.now.Add(time.Minute)
		envelope := Envelope{From: behind.id, To: lost.id, Term: 9, Message: request}
		answer := Envelope{From: returned.id, To: behind.id, Message: VoteReply{PreVote: true, Replaced: true, ReplacedDisk: lost.id.Disk}}
		must.Eq(t, []Action{Send{answer}}, returned.node.Step(returned.clock(c.now), Received{Envelope: envelope}))
		must.Eq(t, 0, returned.node.Term())
		envelope.Message = AppendEntries{Round: 1}
		must.SliceEmpty(t, returned.node.Step(returned.clock(c.now), Received{Envelope: envelope}))
	})
	t.Run("the vote of the host's new identity does not count", func(t *testing.T) {
		c.advance(0)
		behind.node.startElection(false)
		c.perform(behind, behind.node.finishStep())
		c.sync(behind, len(behind.disk.queue))
		must.Eq(t, Candidate, behind.node.Role())
		envelope := Envelope{From: returned.id, To: behind.id, Term: behind.node.Term(), Message: VoteReply{Granted: true}}
		c.step(behind, Received{Envelope: envelope})
		must.Eq(t, Candidate, behind.node.Role())
	})
	t.Run("no leader without a majority of known disks", func(t *testing.T) {
		must.False(t, c.runWithoutFaults(20*time.Second, func() bool { return c.leading() != nil }))
		must.NoError(t, c.err)
	})
	t.Run("the host rejoins as a learner", func(t *testing.T) {
		c.startHost(leader)
		assertReached(t, c, func() bool { return c.leading() != nil })
		c.step(c.leading(), AddServer{Server: Server{ID: returned.id, Replaces: lost.id}})
		assertVoters(t, c, leader, behind, returned)
		assertAllApplied(t, c)
	})
}

// Guards against a follower that never catches up because the leader's log is compacted beyond the follower's last entry.
func TestFarBehindFollowerCatchesUp(t *testing.T) {
	c, leader := startCluster(t, 3)
	behind := others(c, leader)[0]
	c.crash(behind, 0)
	assertCommits(t, c, 400)
	at := behind.disk.last()
	c.startHost(behind)
	assertAllApplied(t, c)
	must.Greater(t, at+300, behind.applied)
	must.Greater(t, at, behind.disk.snapshot.Index)
	must.Greater(t, behind.disk.snapshot.Index, behind.disk.last())
}

// Guards against a graceful shutdown of the leader that leaves the cluster without a leader for an election timeout.
func TestTransferElectsImmediately(t *testing.T) {
	c, leader := startCluster(t, 3)
	before := c.now
	c.step(leader, Transfer{})
	must.Eq(t, Follower, leader.node.Role())
	assertReached(t, c, func() bool { return c.leading() != nil })
	must.NotEq(t, leader.id, c.leading().id)
	must.Eq(t, before, c.now)
}

// Guards against a leader whose disk is stalled but which keeps the leadership because its heartbeats still arrive.
func TestLeaderWithStalledDiskTransfersLeadership(t *testing.T) {
	c, old := startCluster(t, 3)
	c.propose(old)
	for end := c.now.Add(2 * time.Second); c.now.Before(end); c.advance(50 * time.Millisecond) {
		for n := len(c.packets); n > 0; n-- {
			c.deliver(c.removePacket(0))
		}
		for _, other := range others(c, old) {
			c.sync(other, len(other.disk.queue))
		}
	}
	must.NoError(t, c.err)
	must.NotNil(t, c.leading())
	must.NotEq(t, old.id, c.leading().id)
	assertCommits(t, c, 1)
	assertAllApplied(t, c)
}

// Guards against a separate disk write and message for each proposal.
func TestProposalsShareAnAppend(t *testing.T) {
	c, leader := startCluster(t, 3)
	c.propose(leader)
	for range 10 {
		c.propose(leader)
	}
	must.SliceLen(t, 1, leader.disk.queue)
	c.sync(leader, 1)
	must.SliceLen(t, 1, leader.disk.queue)
	must.SliceLen(t, 10, leader.disk.queue[0].(Append).Entries)
	assertAllApplied(t, c)
}

// Guards against an idle cluster that sends more than a heartbeat and its reply for each follower in each interval.
func TestIdleTraffic(t *testing.T) {
	c, leader := startCluster(t, 3)
	assertAllApplied(t, c)
	sent := 0
	for end := leader.clock(c.now).Add(time.Second); leader.clock(c.now).Before(end); c.advance(time.Second) {
		sent += len(c.packets)
		c.drain()
	}
	must.LessEq(t, 2*11, sent) // the replies are sent while draining and not counted
	must.NoError(t, c.err)
}
