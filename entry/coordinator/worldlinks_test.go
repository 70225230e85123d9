package coordinator_test

import (
	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

func (w *world) link(e *entryNode, a *agentNode) *linkPair {
	key := e.id.String() + a.id.String()
	if w.links[key] == nil {
		w.links[key] = &linkPair{entry: e, agent: a}
	}
	return w.links[key]
}

// pairs returns the links of running processes in one order.
func (w *world) pairs() []*linkPair {
	var pairs []*linkPair
	for _, e := range w.entries {
		for _, a := range w.agents {
			if e.alive && a.alive {
				pairs = append(pairs, w.link(e, a))
			}
		}
	}
	return pairs
}

func (w *world) linkAll() {
	for _, l := range w.pairs() {
		if !l.up {
			w.connect(l)
		}
	}
}

// connect opens a stream, as the adapters do: the entry learns of it once the agent has.
func (w *world) connect(l *linkPair) {
	if known, ok := w.state.Member(l.agent.id.Name); !ok || known.Identity != l.agent.id || known.State == specifier.Down {
		return
	}
	l.up, l.number = true, w.next()
	w.agent(l.agent, executor.Linked{Entry: l.entry.id, Link: l.number})
	w.entry(l.entry, coordinator.MembersChanged{Version: w.state.MemberVersion(), Members: w.state.Members()})
	w.entry(l.entry, coordinator.AgentConnected{Agent: l.agent.id})
}

// disconnect loses what is on its way, but for messages that the agent has already received.
func (w *world) disconnect(l *linkPair, received int) {
	if !l.up {
		return
	}
	l.up = false
	l.oldAgent = append(l.oldAgent, l.toAgent[:min(received, len(l.toAgent))]...)
	l.toAgent, l.toEntry = nil, nil
	if l.entry.alive {
		w.entry(l.entry, coordinator.AgentDisconnected{Agent: l.agent.id})
	}
}

func (w *world) toAgent(e *entryNode, id specifier.Identity, event func(*linkPair) executor.Event) {
	for _, a := range w.agents {
		if l := w.link(e, a); a.id == id && l.up {
			l.toAgent = append(l.toAgent, event(l))
		}
	}
}

func (w *world) toEntry(a *agentNode, id specifier.Identity, event coordinator.Event) {
	for _, e := range w.entries {
		if l := w.link(e, a); e.id == id && l.up {
			l.toEntry = append(l.toEntry, event)
		}
	}
}

// deliver hands over the next message of a link in each direction.
func (w *world) deliver(l *linkPair) {
	if len(l.oldAgent) > 0 && l.agent.alive {
		event := l.oldAgent[0]
		l.oldAgent = l.oldAgent[1:]
		w.agent(l.agent, event)
	}
	if len(l.toAgent) > 0 && l.up {
		event := l.toAgent[0]
		l.toAgent = l.toAgent[1:]
		w.agent(l.agent, event)
	}
	if len(l.toEntry) > 0 && l.up {
		event := l.toEntry[0]
		l.toEntry = l.toEntry[1:]
		w.entry(l.entry, event)
	}
}
