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
	e.id.Incarnation = specifier.Incarnation(s.nextNumber())
	e.machine = coordinator.New(maxJobs, rand.New(rand.NewPCG(1, uint64(e.id.Incarnation))), &scheduler.Scheduler{})
	e.alive, e.callers, e.ownerRequests = true, make(map[coordinator.Waiter]string), make(map[coordinator.Waiter]func(coordinator.Reply))
	s.apply(specifier.JoinMember{Member: specifier.Member{Identity: e.id, Role: specifier.Entry, Addr: s.addr(), Zone: e.zone}})
	s.stepEntry(e, coordinator.Identified{Self: e.id})
	s.after(s.site.Hop, func() { s.publish(); s.connectAll(nil, e) })
}

func (s *Session) startAgent(a *agentNode) {
	a.id.Incarnation = specifier.Incarnation(s.nextNumber())
	a.machine = executor.New(maxQueue, maxResultBytes)
	a.alive = true
	s.apply(specifier.JoinMember{Member: specifier.Member{Identity: a.id, Role: specifier.Agent, Addr: s.addr(), Zone: a.zone,
		Service: s.site.Service, Slots: s.site.Slots}})
	s.stepAgent(a, executor.Leased{Until: s.now.Add(leaseDuration)})
	s.stepAgent(a, executor.UpstreamUp{Addr: s.addr(), Slots: s.site.Slots, Until: s.now.Add(leaseDuration)})
	s.after(s.site.Hop, func() { s.publish(); s.connectAll(a, nil) })
}

// publish sends the membership and the configuration to every entry, and to every agent its drain state.
func (s *Session) publish() {
	for _, e := range s.entries {
		if e.alive {
			s.stepEntry(e, coordinator.MembersChanged{Version: s.state.MemberVersion(), Members: s.state.Members()})
			s.stepEntry(e, coordinator.Configured{Configuration: s.state.Configuration()})
		}
	}
	for _, a := range s.agents {
		if known, _ := s.state.Member(a.id.Name); a.alive && known.Identity == a.id {
			s.stepAgent(a, executor.Draining{On: known.State == specifier.Draining})
		}
	}
}

// connectAll opens the streams between one agent and all entries, or between one entry and all agents.
func (s *Session) connectAll(agent *agentNode, entry *entryNode) {
	for _, e := range s.entries {
		for _, a := range s.agents {
			if e.alive && a.alive && (a == agent || e == entry) {
				s.stepAgent(a, executor.Connected{Entry: e.id, Stream: uint64(e.id.Incarnation)})
				s.stepEntry(e, coordinator.AgentConnected{Agent: a.id})
			}
		}
	}
}

func (s *Session) killEntry(e *entryNode) {
	e.alive = false
	requests := e.ownerRequests
	e.ownerRequests = nil
	id := e.id
	for _, waiter := range sorted(requests) {
		requests[waiter](coordinator.Reply{NotOwner: true})
	}
	for _, waiter := range sorted(e.callers) {
		s.logf("%s: connection to %s broke", e.callers[waiter], id.Name)
	}
	s.after(s.site.Lease, func() { s.apply(specifier.EndMember{Identity: id}) })
}

func (s *Session) killAgent(a *agentNode) {
	a.alive = false
	id := a.id
	for _, e := range s.entries {
		if e.alive {
			s.stepEntry(e, coordinator.AgentDisconnected{Agent: id})
		}
	}
	s.after(s.site.Lease, func() { s.apply(specifier.EndMember{Identity: id}) })
}
