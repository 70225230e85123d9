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
	id          specifier.Identity
	process     specifier.Identity // the first identity, under which the entry records events
	machine     *coordinator.Coordinator
	alive       bool
	drained     bool
	partitioned bool // the entry can't reach the controllers
	proposals   []specifier.Command
	questions   map[coordinator.Waiter]ownerQuestion // requests of other entries for an answer of this one
}

// agentNode is one agent process.
type agentNode struct {
	id          specifier.Identity
	machine     *executor.Executor
	alive       bool
	released    bool // every entry has released the agent
	partitioned bool // the agent can't reach the controllers
	leaseUntil  time.Time
	running     []executor.Run
}

// ownerQuestion is another entry's request for the answer of a job.
type ownerQuestion struct {
	from *entryNode
	id   specifier.Identity // identity under which the entry asked
	job  specifier.JobID
}

// agentStream is the current stream between an entry and an agent, with the messages in transit.
type agentStream struct {
	entry          *entryNode
	agent          *agentNode
	open           bool
	number         uint64
	toAgent        []executor.Event
	toEntry        []coordinator.Event
	earlierToAgent []executor.Event // messages of an earlier stream that the agent still reads
}

func (c *cluster) startEntry(i int) {
	e := c.entries[i]
	e.id = specifier.Identity{Name: fmt.Sprintf("entry-%d", i), Incarnation: specifier.Incarnation(c.nextID())}
	e.process = e.id
	e.machine = coordinator.New(100, rand.New(rand.NewPCG(1, c.lastID)), &scheduler.Scheduler{})
	e.alive, e.partitioned, e.proposals, e.questions = true, false, nil, make(map[coordinator.Waiter]ownerQuestion)
	c.registerEntry(e)
}

func (c *cluster) registerEntry(e *entryNode) {
	c.apply(specifier.JoinMember{Member: specifier.Member{Identity: e.id, Role: specifier.Entry, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "a"}})
	c.stepEntry(e, coordinator.Identified{Self: e.id})
}

func (c *cluster) startAgent(i int) {
	a := c.agents[i]
	a.id = specifier.Identity{Name: fmt.Sprintf("worker-%d", i), Incarnation: specifier.Incarnation(c.nextID())}
	a.machine = executor.New(100, 1<<20)
	a.alive, a.released, a.partitioned, a.running = true, false, false, nil
	c.registerAgent(a)
	c.stepAgent(a, executor.UpstreamUp{Addr: netip.MustParseAddrPort("127.0.0.1:2"), Slots: slots, Until: c.now.Add(24 * time.Hour)})
}

// registerAgent records the agent as a member and renews its lease.
func (c *cluster) registerAgent(a *agentNode) {
	c.apply(specifier.JoinMember{Member: specifier.Member{Identity: a.id, Role: specifier.Agent, Addr: netip.MustParseAddrPort("127.0.0.1:2"),
		Zone: "a", Service: "s", Slots: slots}})
	a.leaseUntil = c.now.Add(lease)
	c.stepAgent(a, executor.Leased{Until: a.leaseUntil})
}

// publish sends the membership and the configuration to every entry that reaches the controllers.
func (c *cluster) publish() {
	for _, e := range c.entries {
		if e.alive && !e.partitioned {
			c.stepEntry(e, coordinator.MembersChanged{Version: c.state.MemberVersion(), Members: c.state.Members()})
			c.stepEntry(e, coordinator.Configured{Configuration: c.state.Configuration()})
		}
	}
}
