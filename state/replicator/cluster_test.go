package replicator

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"
)

// packet is a message in transit. A snapshot is sent as the digest of its content.
type packet struct {
	envelope Envelope
	content  *uint64
}

// cluster runs several servers in one goroutine and checks the safety invariants after every step.
type cluster struct {
	settings   Settings
	random     *rand.Rand
	now        time.Time
	hosts      []*host
	packets    []packet
	blocked    map[[2]ServerID]bool
	proposed   uint64
	refused    []Refused
	invariants *invariants
	err        error
}

// testSettings returns settings with a small safety margin: with clock rates that differ by 10%, the lease ends 50 ms before
// the election timeout.
func testSettings() Settings {
	return Settings{Heartbeat: 100 * time.Millisecond, Lease: 400 * time.Millisecond, ElectionTimeout: 500 * time.Millisecond,
		MaxEntry: 64, MaxAppend: 120, MaxInflight: 3, MaxPending: 1024, SnapshotEvery: 6, SnapshotBytes: 1 << 20, KeepEntries: 2, KeepBytes: 1 << 20,
		MaxLog: 4 << 20}
}

// byteSettings returns settings with which snapshots and the length of the log depend on bytes: about six entries between two snapshots,
// two before one, and ten in all.
func byteSettings() Settings {
	settings := testSettings()
	settings.SnapshotEvery, settings.SnapshotBytes = 1<<20, 220
	settings.KeepEntries, settings.KeepBytes = 1<<20, 100
	settings.MaxLog = settings.minMaxLog()
	return settings
}

// newCluster starts a cluster in which the given number of voters bootstrap together.
func newCluster(voters int, seed uint64, settings Settings) *cluster {
	c := &cluster{settings: settings, random: rand.New(rand.NewPCG(seed, 1)), now: epoch.Add(time.Hour),
		blocked: make(map[[2]ServerID]bool), invariants: newInvariants()}
	var servers []Server
	for range voters {
		servers = append(servers, Server{ID: c.addHost(string(rune('a' + len(c.hosts)))).id, Voter: true})
	}
	for _, h := range c.hosts {
		c.step(h, Bootstrap{Servers: servers})
	}
	return c
}

// addHost starts a server with an empty disk.
func (c *cluster) addHost(name string) *host {
	h := &host{id: ServerID{Name: name, Disk: uint64(len(c.hosts) + 1)}, disk: newDisk(),
		clockOffset: time.Duration(len(c.hosts)) * 7 * time.Minute, clockRate: []int{100, 105, 95, 103, 97}[len(c.hosts)%5]}
	c.hosts = append(c.hosts, h)
	c.startHost(h)
	return h
}

func (c *cluster) startHost(h *host) {
	h.up = true
	h.node = &Node{Self: h.id, Settings: c.settings, Recovered: h.disk.recovered(),
		Random: rand.New(rand.NewPCG(c.random.Uint64(), 2))}
	if err := h.node.Check(); err != nil {
		c.fail("%v: %v", h.id, err)
	}
	h.applied, h.wasLeader = h.disk.snapshot.Index, false
	h.checkedCommit, h.digest = h.applied, h.disk.snapshots[h.applied]
	c.step(h, Started{})
}

// crash stops a server. The first kept queued writes become durable, the others are lost.
func (c *cluster) crash(h *host, kept int) {
	_, err := h.disk.write(kept)
	c.recordError(err)
	if restore, ok := h.disk.next().(Restore); ok && c.random.IntN(2) == 0 {
		// The crash interrupts the Restore: the snapshot is replaced, but the stored log is not reset.
		h.disk.snapshot = restore.Snapshot
	}
	h.up, h.disk.queue, h.disk.saving = false, nil, nil
}

func (c *cluster) fail(format string, args ...any) { c.recordError(fmt.Errorf(format, args...)) }

func (c *cluster) recordError(err error) {
	if c.err == nil {
		c.err = err
	}
}

// step delivers an event to a server that is up, and performs the resulting actions.
func (c *cluster) step(h *host, event Event) {
	if h.up && c.err == nil {
		c.perform(h, h.node.Step(h.clock(c.now), event))
	}
}

func (c *cluster) expire(h *host) {
	if h.up && c.err == nil {
		c.perform(h, h.node.Expire(h.clock(c.now)))
	}
}

func (c *cluster) perform(h *host, actions []Action) {
	// A commit is checked before its entries are applied, because they may be compacted afterwards.
	c.recordError(c.invariants.checkStep(h, c.hosts, c.now, actions))
	for _, action := range actions {
		switch action := action.(type) {
		case Persist, Append, Truncate, Compact:
			h.disk.queue = append(h.disk.queue, action)
		case Restore:
			h.disk.queue = append(h.disk.queue, action)
			h.applied, h.digest = action.Snapshot.Index, h.disk.snapshots[action.Snapshot.Index]
			c.recordError(c.invariants.checkState(h))
		case Send:
			c.packets = append(c.packets, packet{envelope: action.Envelope})
		case SendSnapshot:
			content := h.disk.snapshots[action.Snapshot.Index]
			c.packets = append(c.packets, packet{envelope: action.Envelope, content: &content})
		case SaveSnapshot:
			h.disk.saving, h.disk.digest = &action, h.digest
		case Apply:
			c.recordError(c.invariants.applyEntries(h, action.Entries))
		case Refused:
			c.refused = append(c.refused, action)
		}
	}
}

// removePacket removes a packet from the network and returns it.
func (c *cluster) removePacket(i int) packet {
	p := c.packets[i]
	c.packets = append(c.packets[:i], c.packets[i+1:]...)
	return p
}

// deliver delivers a packet, or loses it if the receiver is down or the connection is blocked.
func (c *cluster) deliver(p packet) {
	from, to := c.host(p.envelope.From), c.atAddress(p.envelope.To)
	arrives := to != nil && to.up && !c.blocked[[2]ServerID{from.id, to.id}]
	if arrives && p.content != nil {
		to.disk.snapshots[p.envelope.Message.(InstallSnapshot).Snapshot.Index] = *p.content
	}
	if arrives {
		c.step(to, Received{Envelope: p.envelope})
	}
	if p.content != nil {
		c.step(from, SnapshotSent{To: p.envelope.To, Failed: !arrives, Index: p.envelope.Message.(InstallSnapshot).Snapshot.Index})
	}
}

// atAddress returns the server that messages to id reach: the newest one of its name, once the disk of id is lost.
func (c *cluster) atAddress(id ServerID) *host {
	at := c.host(id)
	for _, h := range c.hosts {
		if at != nil && at.diskLost && h.id.Name == id.Name {
			at = h
		}
	}
	return at
}

func (c *cluster) host(id ServerID) *host {
	for _, h := range c.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// sync makes the first count queued writes of h durable and reports them.
func (c *cluster) sync(h *host, count int) {
	last, err := h.disk.write(count)
	c.recordError(err)
	if last > 0 {
		c.step(h, Synced{Write: last})
	}
}

func (c *cluster) saveSnapshot(h *host) {
	if h.up && h.disk.saving != nil {
		c.step(h, SnapshotSaved{Index: h.disk.completeSnapshot()})
	}
}

// propose proposes a new value to h.
func (c *cluster) propose(h *host) {
	c.proposed++
	c.step(h, Propose{Ticket: Ticket(c.proposed), Data: binary.BigEndian.AppendUint64(nil, c.proposed)})
}

// leading returns the server that may answer as leader, or nil.
func (c *cluster) leading() *host {
	for _, h := range c.hosts {
		if h.up && h.node.Leading(h.clock(c.now)) {
			return h
		}
	}
	return nil
}

// advance moves the clock to the next deadline, but at most by limit, and expires the servers whose deadline is due.
func (c *cluster) advance(limit time.Duration) {
	next := c.now.Add(limit)
	for _, h := range c.hosts {
		if due := h.due(); !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	if next.After(c.now) {
		c.now = next
	}
	for _, h := range c.hosts {
		if due := h.due(); !due.IsZero() && !due.After(c.now) {
			c.expire(h)
		}
	}
	c.recordError(c.invariants.checkLeases(c.hosts, c.now))
}

// drain delivers all packets and syncs all writes, in order, until none are left.
func (c *cluster) drain() {
	rounds := 0
	for busy := true; busy && c.err == nil; rounds++ {
		if rounds > 1000 {
			c.fail("progress: messages follow each other without end while no time passes")
		}
		busy = len(c.packets) > 0
		for n := len(c.packets); n > 0; n-- {
			c.deliver(c.removePacket(0))
		}
		for _, h := range c.hosts {
			busy = busy || h.up && len(h.disk.queue) > 0
			if h.up {
				c.sync(h, len(h.disk.queue))
			}
			c.saveSnapshot(h)
		}
	}
}

// runWithoutFaults runs the cluster without new faults until done returns true, but at most for limit. It reports whether
// done returned true.
func (c *cluster) runWithoutFaults(limit time.Duration, done func() bool) bool {
	for end := c.now.Add(limit); c.err == nil; {
		c.drain()
		if done() {
			return true
		}
		if !c.now.Before(end) {
			return false
		}
		c.advance(100 * time.Millisecond)
	}
	return false
}

// isolate blocks both directions between h and all others.
func (c *cluster) isolate(h *host) {
	for _, other := range c.hosts {
		c.blocked[[2]ServerID{h.id, other.id}] = true
		c.blocked[[2]ServerID{other.id, h.id}] = true
	}
}

func (c *cluster) heal() { clear(c.blocked) }
