package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stopAll stops all servers at the same time. What is queued for their disks is lost.
func stopAll(c *cluster) {
	for _, h := range c.hosts {
		c.crash(h, 0)
	}
	c.packets = nil
}

// assertLeaderWithin starts the given hosts and fails the test unless one leads within the given time of the cluster's clock.
func assertLeaderWithin(t *testing.T, c *cluster, limit time.Duration, hosts ...*host) {
	t.Helper()
	for _, h := range hosts {
		c.startHost(h)
	}
	reached := c.runWithoutFaults(limit, func() bool { return c.leading() != nil })
	must.NoError(t, c.err)
	must.True(t, reached)
}

// Guards against a loss of power of all servers after which each waits for an election timeout, although the last leader is back and leads no
// more.
func TestRecoveryAfterLossOfPower(t *testing.T) {
	settings := testSettings()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("all servers return ", seed), func(t *testing.T) {
			c := newCluster(5, seed, settings)
			assertReached(t, c, func() bool { return c.leading() != nil })
			assertCommits(t, c, 2)
			stopAll(c)
			assertLeaderWithin(t, c, settings.ElectionTimeout-1, c.hosts...)
		})
		t.Run(fmt.Sprint("the leader and another server have lost their disks ", seed), func(t *testing.T) {
			c := newCluster(5, seed, settings)
			assertReached(t, c, func() bool { return c.leading() != nil })
			leader := c.leading()
			assertCommits(t, c, 2)
			stopAll(c)
			rest, other := others(c, leader)[1:], others(c, leader)[0]
			for _, h := range []*host{leader, other} {
				h.diskLost = true
				c.addHost(h.id.Name)
			}
			assertLeaderWithin(t, c, settings.ElectionTimeout-1, rest...)
		})
	}
	t.Run("the last leader does not return", func(t *testing.T) {
		// Its lease may still be in force, so that no server may be elected before an election timeout has passed.
		c, leader := startCluster(t, 3)
		rest := others(c, leader)
		stopAll(c)
		for _, h := range rest {
			c.startHost(h)
		}
		must.False(t, c.runWithoutFaults(settings.ElectionTimeout*9/10, func() bool { return c.leading() != nil }))
		assertReached(t, c, func() bool { return c.leading() != nil })
	})
}

func requestVote(ServerID, ServerID) Message { return RequestVote{PreVote: true} }

func replacedReply(disk uint64) Message {
	return VoteReply{PreVote: true, Replaced: true, ReplacedDisk: disk}
}

// Guards against a follower that is released from its leader by a message that does not prove that the leader leads no more.
func TestReleaseFromALeader(t *testing.T) {
	for _, each := range []struct {
		name     string
		from     func(leader, other ServerID) ServerID
		term     Term // relative to the leader's
		message  func(leader, other ServerID) Message
		released bool
	}{
		{"the leader asks for votes of a later term", func(leader, _ ServerID) ServerID { return leader }, 1, requestVote, true},
		{"the leader's request of its own term arrives late", func(leader, _ ServerID) ServerID { return leader }, 0, requestVote, false},
		{"another server asks for votes", func(_, other ServerID) ServerID { return other }, 1, requestVote, false},
		{"the leader's name runs on another disk", func(leader, _ ServerID) ServerID { return ServerID{leader.Name, 99} }, 0, func(leader, _ ServerID) Message { return replacedReply(leader.Disk) }, true},
		{"an earlier disk of the leader's name was replaced", func(leader, _ ServerID) ServerID { return ServerID{leader.Name, 99} }, 0, func(ServerID, ServerID) Message { return replacedReply(98) }, false},
		{"another server's name runs on another disk", func(_, other ServerID) ServerID { return ServerID{other.Name, 99} }, 0, func(_, other ServerID) Message { return replacedReply(other.Disk) }, false},
	} {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restarted: %v", each.name, restarted), func(t *testing.T) {
				c, leader := startCluster(t, 3)
				follower, other := others(c, leader)[0], others(c, leader)[1]
				if restarted {
					c.crash(follower, 0)
					c.startHost(follower)
				}
				must.True(t, follower.node.boundToLeader())
				c.step(follower, Received{Envelope{From: each.from(leader.id, other.id), To: follower.id, Term: leader.node.Term() + each.term,
					Message: each.message(leader.id, other.id)}})
				must.Eq(t, each.released, !follower.node.boundToLeader())
			})
		}
	}
	t.Run("a leader that got no vote is stored before it is answered", func(t *testing.T) {
		// Guards against a release by the candidate that got the last vote, although another server has led since.
		c, leader := startCluster(t, 3)
		follower, next := others(c, leader)[0], others(c, leader)[1]
		term := leader.node.Term() + 1
		c.step(follower, Received{Envelope{From: next.id, To: follower.id, Term: term, Message: AppendEntries{PrevIndex: 1, PrevTerm: 1}}})
		must.SliceEmpty(t, c.packets)
		c.sync(follower, len(follower.disk.queue))
		must.SliceLen(t, 1, c.packets)
		c.crash(follower, 0)
		c.startHost(follower)
		c.step(follower, Received{Envelope{From: leader.id, To: follower.id, Term: term + 1, Message: RequestVote{PreVote: true}}})
		must.True(t, follower.node.boundToLeader())
	})
	t.Run("until the next leader is heard", func(t *testing.T) {
		c, leader := startCluster(t, 3)
		c.step(leader, Transfer{})
		assertReached(t, c, func() bool { return c.leading() != nil && c.leading() != leader })
		for _, h := range others(c, c.leading()) {
			must.True(t, h.node.boundToLeader())
			must.Eq(t, c.leading().id, h.node.state.Leader)
		}
	})
	t.Run("not known after a version that does not store it", func(t *testing.T) {
		for _, state := range []HardState{{Term: 5}, {Term: 5, Leader: ServerID{"a", 1}, LeaderTerm: 4}} {
			c, leader := startCluster(t, 3)
			follower := others(c, leader)[0]
			c.crash(follower, 0)
			follower.node = &Node{Self: follower.id, Settings: c.settings, Random: c.random,
				Recovered: Recovered{State: state, Entries: []Entry{{Index: 1, Term: 5}}}}
			follower.up = true
			c.step(follower, Started{})
			c.step(follower, Received{Envelope{From: ServerID{"a", 1}, To: follower.id, Term: 9, Message: RequestVote{PreVote: true}}})
			must.True(t, follower.node.boundToLeader())
		}
	})
}

// Guards against two servers that ask for pre-votes at the same time, are both granted them, and split the votes.
func TestPreVotesAtTheSameTime(t *testing.T) {
	settings := testSettings()
	// ask makes the first and the last server ask for pre-votes when no lease binds anybody, and delivers the request of one to the other.
	ask := func(t *testing.T, from, to int, after time.Duration) (*host, []packet) {
		c, _ := startCluster(t, 3)
		stopAll(c)
		for _, h := range c.hosts {
			c.startHost(h)
			c.sync(h, len(h.disk.queue))
		}
		c.now = c.now.Add(2 * settings.ElectionTimeout)
		for _, h := range []*host{c.hosts[from], c.hosts[to]} {
			h.node.now = h.clock(c.now)
			h.node.startPreVote()
			c.perform(h, h.node.finishStep())
		}
		c.packets = nil
		c.now = c.now.Add(after)
		request := RequestVote{PreVote: true, LastIndex: c.hosts[to].node.log.last(), LastTerm: c.hosts[to].node.log.lastTerm()}
		c.step(c.hosts[to], Received{Envelope{From: c.hosts[from].id, To: c.hosts[to].id, Term: c.hosts[to].node.Term() + 1, Message: request}})
		return c.hosts[to], c.packets
	}
	t.Run("the preferred one insists", func(t *testing.T) {
		h, replies := ask(t, 2, 0, 0)
		must.SliceEmpty(t, replies)
		must.Eq(t, PreCandidate, h.node.Role())
	})
	t.Run("but not for long, since it may be unable to win", func(t *testing.T) {
		_, replies := ask(t, 2, 0, 4*settings.Heartbeat)
		must.SliceLen(t, 1, replies)
	})
	t.Run("the other one yields", func(t *testing.T) {
		h, replies := ask(t, 0, 2, 0)
		must.SliceLen(t, 1, replies)
		must.Eq(t, Follower, h.node.Role())
	})
}
