package replicator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startWithBytes starts a cluster whose snapshots depend on the bytes of the entries only.
func startWithBytes(t *testing.T) (*cluster, *host) {
	t.Helper()
	c := newCluster(3, 1, byteSettings())
	assertReached(t, c, func() bool { return c.leading() != nil })
	return c, c.leading()
}

// assertLogBounded fails the test unless each log, in memory and on disk, holds at most MaxLog bytes.
func assertLogBounded(t *testing.T, c *cluster) {
	t.Helper()
	for _, h := range c.hosts {
		must.LessEq(t, c.settings.MaxLog, h.node.log.bytes)
		must.LessEq(t, c.settings.MaxLog, sizeOf(h.disk.entries))
	}
}

// Guards against a log of large entries that grows until their number calls for a snapshot, by which time the disk is full.
func TestSnapshotsByBytes(t *testing.T) {
	c, leader := startWithBytes(t)
	for range 100 {
		assertCommits(t, c, 1)
		assertLogBounded(t, c)
	}
	must.Positive(t, leader.node.snapshot.Index)
	t.Run("the follower that was away gets a snapshot", func(t *testing.T) {
		away := others(c, leader)[0]
		c.crash(away, 0)
		assertCommits(t, c, 20)
		c.startHost(away)
		assertAllApplied(t, c)
		assertLogBounded(t, c)
	})
}

// Guards against a leader that goes on taking proposals while its snapshot waits for a slow or full disk, and against one that takes none
// after the snapshot is saved.
func TestProposalsWaitForTheSnapshot(t *testing.T) {
	c, leader := startWithBytes(t)
	for range 1000 {
		c.propose(leader)
		for range 5 { // no snapshot is saved
			for len(c.packets) > 0 {
				c.deliver(c.removePacket(0))
			}
			for _, h := range c.hosts {
				c.sync(h, len(h.disk.queue))
			}
		}
		must.NoError(t, c.err)
	}
	must.LessEq(t, c.settings.MaxLog, leader.node.log.bytes)
	must.Eq(t, Full, c.refused[len(c.refused)-1].Reason)
	assertReached(t, c, func() bool { return leader.node.saving.Index == 0 })
	assertCommits(t, c, 20)
}

// Guards against a cluster that takes no proposals for as long as the leader alone can't save its snapshot.
func TestAnotherServerLeadsWhileTheSnapshotIsStuck(t *testing.T) {
	c, stuck := startWithBytes(t)
	for end := c.now.Add(2 * snapshotStallTimeouts * c.settings.ElectionTimeout); c.leading() == stuck || c.leading() == nil; {
		c.propose(stuck)
		for len(c.packets) > 0 {
			c.deliver(c.removePacket(0))
		}
		for _, h := range c.hosts {
			c.sync(h, len(h.disk.queue))
			if h != stuck {
				c.saveSnapshot(h)
			}
		}
		c.advance(50 * time.Millisecond)
		must.NoError(t, c.err)
		must.True(t, c.now.Before(end))
	}
	must.Positive(t, stuck.node.saving.Index)
	assertCommits(t, c, 20)
}

// Guards against entries of deposed leaders, which stay in the journal until it is compacted, that fill the disk without a snapshot.
func TestTruncatedEntriesCount(t *testing.T) {
	node := &Node{Settings: byteSettings()}
	node.log.append(Entry{Index: 1}, Entry{Index: 2, Data: make([]byte, 40)}, Entry{Index: 3, Data: make([]byte, 40)})
	before := node.log.bytes
	node.truncate(2)
	must.Eq(t, before-node.log.bytes, node.unsavedBytes)
	must.Eq(t, entryOverhead, node.log.bytes)
}
