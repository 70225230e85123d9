package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/scheduler"
	"oleandertally/entry/coordinator"
)

// entryNode is one entry process.
type entryNode struct {
	id      specifier.Identity
	process specifier.Identity // its first identity, under which it records events
	machine *coordinator.Coordinator
	alive   bool
	drained bool
	cut     bool // from the controllers
	pending []specifier.Command
	asks    map[coordinator.Waiter]ask // of other entries, waiting here
}

// agentNode is one agent process.
type agentNode struct {
	id      specifier.Identity
	machine *executor.Executor
	alive   bool
	left    bool // every entry has released it
	cut     bool // from the controllers
	until   time.Time
	running []executor.Run
}

// ask is a question of another entry.
type ask struct {
	from *entryNode
	id   specifier.Identity // of the asking run
	job  specifier.JobID
}

// linkPair is the present stream between an entry and an agent, and messages on their way.
type linkPair struct {
	entry    *entryNode
	agent    *agentNode
	up       bool
	number   uint64
	toAgent  []executor.Event
	toEntry  []coordinator.Event
	oldAgent []executor.Event // of an earlier stream, still being read by the agent
}

func (w *world) startEntry(i int) {
	e := w.entries[i]
	e.id = specifier.Identity{Name: fmt.Sprintf("entry-%d", i), Incarnation: specifier.Incarnation(w.next())}
	e.process = e.id
	e.machine = coordinator.New(100, rand.New(rand.NewPCG(1, w.last)), &scheduler.Scheduler{})
	e.alive, e.cut, e.pending, e.asks = true, false, nil, make(map[coordinator.Waiter]ask)
	w.join(e)
}

func (w *world) join(e *entryNode) {
	w.apply(specifier.JoinMember{Member: specifier.Member{Identity: e.id, Role: specifier.Entry, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "a"}})
	w.entry(e, coordinator.Identified{Self: e.id})
}

func (w *world) startAgent(i int) {
	a := w.agents[i]
	a.id = specifier.Identity{Name: fmt.Sprintf("worker-%d", i), Incarnation: specifier.Incarnation(w.next())}
	a.machine = executor.New(100, 1<<20)
	a.alive, a.left, a.cut, a.running = true, false, false, nil
	w.attend(a)
	w.agent(a, executor.UpstreamUp{Addr: netip.MustParseAddrPort("127.0.0.1:2"), Slots: slots, Until: w.now.Add(24 * time.Hour)})
}

// attend records the agent and renews its lease.
func (w *world) attend(a *agentNode) {
	w.apply(specifier.JoinMember{Member: specifier.Member{Identity: a.id, Role: specifier.Agent, Addr: netip.MustParseAddrPort("127.0.0.1:2"),
		Zone: "a", Service: "s", Slots: slots}})
	a.until = w.now.Add(lease)
	w.agent(a, executor.Leased{Until: a.until})
}

// publish tells every connected entry the membership and the configuration.
func (w *world) publish() {
	for _, e := range w.entries {
		if e.alive && !e.cut {
			w.entry(e, coordinator.MembersChanged{Version: w.state.MemberVersion(), Members: w.state.Members()})
			w.entry(e, coordinator.Configured{Configuration: w.state.Configuration()})
		}
	}
}
