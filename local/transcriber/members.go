package transcriber

import (
	"math/rand/v2"

	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/scheduler"
	"oleandertally/entry/coordinator"
)

const maxJobs = 100

func (s *Session) startEntry(e *entryNode) {
	e.id.Incarnation = specifier.Incarnation(s.next())
	e.machine = coordinator.New(maxJobs, rand.New(rand.NewPCG(1, uint64(e.id.Incarnation))), &scheduler.Scheduler{})
	e.alive, e.callers, e.asks = true, make(map[coordinator.Waiter]string), make(map[coordinator.Waiter]func(coordinator.Reply))
	s.apply(specifier.JoinMember{Member: specifier.Member{Identity: e.id, Role: specifier.Entry, Addr: s.addr(), Zone: e.zone}})
	s.entry(e, coordinator.Identified{Self: e.id})
	s.after(s.site.Hop, func() { s.publish(); s.linkAll(nil, e) })
}

func (s *Session) startAgent(a *agentNode) {
	a.id.Incarnation = specifier.Incarnation(s.next())
	a.machine = executor.New(queueBound, heldBytes)
	a.alive = true
	s.apply(specifier.JoinMember{Member: specifier.Member{Identity: a.id, Role: specifier.Agent, Addr: s.addr(), Zone: a.zone,
		Service: s.site.Service, Slots: s.site.Slots}})
	s.agent(a, executor.Leased{Until: s.now.Add(leased)})
	s.agent(a, executor.UpstreamUp{Addr: s.addr(), Slots: s.site.Slots, Until: s.now.Add(leased)})
	s.after(s.site.Hop, func() { s.publish(); s.linkAll(a, nil) })
}

// publish tells every entry the membership and the configuration, and every agent whether it drains.
func (s *Session) publish() {
	for _, e := range s.entries {
		if e.alive {
			s.entry(e, coordinator.MembersChanged{Version: s.state.MemberVersion(), Members: s.state.Members()})
			s.entry(e, coordinator.Configured{Configuration: s.state.Configuration()})
		}
	}
	for _, a := range s.agents {
		if known, _ := s.state.Member(a.id.Name); a.alive && known.Identity == a.id {
			s.agent(a, executor.Draining{On: known.State == specifier.Draining})
		}
	}
}

// linkAll opens the streams of one agent or one entry.
func (s *Session) linkAll(agent *agentNode, entry *entryNode) {
	for _, e := range s.entries {
		for _, a := range s.agents {
			if e.alive && a.alive && (a == agent || e == entry) {

				s.agent(a, executor.Connected{Entry: e.id, Stream: uint64(e.id.Incarnation)})
				s.entry(e, coordinator.AgentConnected{Agent: a.id})
			}
		}
	}
}

func (s *Session) killEntry(e *entryNode) {
	e.alive = false
	asks := e.asks
	e.asks = nil
	id := e.id
	for _, waiter := range sorted(asks) {
		asks[waiter](coordinator.Reply{NotOwner: true})
	}
	for _, waiter := range sorted(e.callers) {
		s.say("%s: connection to %s broke", e.callers[waiter], id.Name)
	}
	s.after(s.site.Lease, func() { s.apply(specifier.EndMember{Identity: id}) })
}

func (s *Session) killAgent(a *agentNode) {
	a.alive = false
	id := a.id
	for _, e := range s.entries {
		if e.alive {
			s.entry(e, coordinator.AgentDisconnected{Agent: id})
		}
	}
	s.after(s.site.Lease, func() { s.apply(specifier.EndMember{Identity: id}) })
}
