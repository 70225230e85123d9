package replicator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/looper"
)

var _ looper.Machine[Event, Action] = (*Node)(nil)

// Guards against settings and recovered logs that are accepted although they violate the conditions of the lease or the log.
func TestCheckNamesTheField(t *testing.T) {
	valid := func() *Node {
		return &Node{Self: ServerID{Name: "a", Disk: 1}, Settings: Defaults(), Random: rand.New(rand.NewPCG(1, 1))}
	}
	must.NoError(t, valid().Check())
	for field, damage := range map[string]func(n *Node){
		"Self":            func(n *Node) { n.Self.Disk = 0 },
		"Random":          func(n *Node) { n.Random = nil },
		"Heartbeat":       func(n *Node) { n.Settings.Heartbeat = 0 },
		"Lease":           func(n *Node) { n.Settings.Lease = n.Settings.Heartbeat },
		"ElectionTimeout": func(n *Node) { n.Settings.ElectionTimeout = n.Settings.Lease },
		"MaxInflight":     func(n *Node) { n.Settings.MaxInflight = 0 },
		"KeepEntries":     func(n *Node) { n.Settings.KeepEntries = -1 },
		"SnapshotBytes":   func(n *Node) { n.Settings.SnapshotBytes = 0 },
		"KeepBytes":       func(n *Node) { n.Settings.KeepBytes = -1 },
		"MaxLog": func(n *Node) {
			n.Settings.MaxLog = n.Settings.SnapshotBytes + n.Settings.KeepBytes + n.Settings.MaxEntry
		},
		"first index 2":  func(n *Node) { n.Recovered.Entries = []Entry{{Index: 2}} },
		"index 3":        func(n *Node) { n.Recovered.Entries = []Entry{{Index: 1}, {Index: 3}} },
		"term decreases": func(n *Node) { n.Recovered.Entries = []Entry{{Index: 1, Term: 2}, {Index: 2, Term: 1}} },
	} {
		t.Run(field, func(t *testing.T) {
			node := valid()
			damage(node)
			must.ErrorContains(t, node.Check(), field)
		})
	}
}

// Guards against a log whose entries do not follow the snapshot's entry. A crash during a Restore leaves such entries behind.
func TestInterruptedRestoreIsRepeated(t *testing.T) {
	snapshot := Snapshot{Index: 2, Term: 3, Servers: []Server{{ID: ServerID{Name: "a", Disk: 1}, Voter: true}}}
	for name, entries := range map[string][]Entry{
		"the log conflicts":     {{Index: 1, Term: 2}, {Index: 2, Term: 2}, {Index: 3, Term: 2}},
		"the log ends too soon": {{Index: 1, Term: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			node := &Node{Self: ServerID{Name: "a", Disk: 1}, Settings: Defaults(), Random: rand.New(rand.NewPCG(1, 1)),
				Recovered: Recovered{State: HardState{Term: 3}, Snapshot: snapshot, Entries: entries}}
			must.NoError(t, node.Check())
			must.Eq(t, Action(Restore{Write: 1, Snapshot: snapshot}), node.Step(epoch, Started{})[0])
			must.Eq(t, snapshot.Index, node.log.last())
		})
	}
}

// Guards against a server that can never bootstrap a cluster because a crash interrupted its first Bootstrap.
func TestBootstrapAfterCrash(t *testing.T) {
	id := ServerID{Name: "a", Disk: 1}
	node := &Node{Self: id, Settings: Defaults(), Random: rand.New(rand.NewPCG(1, 1)), Recovered: Recovered{State: HardState{Term: 1}}}
	node.Step(epoch, Started{})
	node.Step(epoch, Bootstrap{Servers: []Server{{ID: id, Voter: true}}})
	must.Eq(t, 1, node.log.last())
}

// Guards against requests that are accepted although the server cannot carry them out.
func TestRefusals(t *testing.T) {
	c, leader := startCluster(t, 3)
	now, id := leader.clock(c.now), leader.id
	follower := others(c, leader)[0]
	for _, each := range []struct {
		at    *host
		event Event
		want  Reason
	}{
		{follower, Propose{}, NotLeader},
		{leader, Propose{Data: make([]byte, 65)}, TooLarge},
		{leader, AddServer{Server: Server{ID: id}}, KnownServer},
		{leader, AddServer{Server: Server{ID: ServerID{"x", 9}, Replaces: ServerID{"y", 9}}}, UnknownServer},
		{leader, RemoveServer{ID: ServerID{"x", 9}}, UnknownServer},
		{leader, Transfer{To: id}, UnknownServer},
	} {
		t.Run(string(each.want), func(t *testing.T) {
			actions := each.at.node.Step(now, each.event)
			must.Eq(t, []Action{Refused{Reason: each.want, Leader: id}}, actions)
		})
	}
	t.Run("NotReady without a lease", func(t *testing.T) {
		actions := leader.node.Step(now.Add(time.Hour), Propose{})
		must.Eq(t, Refused{Reason: NotReady, Leader: id}, actions[0].(Refused))
	})
}
