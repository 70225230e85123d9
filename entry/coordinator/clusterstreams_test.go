package coordinator_test

import (
	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

func (c *cluster) stream(e *entryNode, a *agentNode) *agentStream {
	key := e.id.String() + a.id.String()
	if c.streams[key] == nil {
		c.streams[key] = &agentStream{entry: e, agent: a}
	}
	return c.streams[key]
}

// liveStreams returns the streams between running processes in a fixed order.
func (c *cluster) liveStreams() []*agentStream {
	var streams []*agentStream
	for _, e := range c.entries {
		for _, a := range c.agents {
			if e.alive && a.alive {
				streams = append(streams, c.stream(e, a))
			}
		}
	}
	return streams
}

func (c *cluster) connectAll() {
	for _, s := range c.liveStreams() {
		if !s.open {
			c.connect(s)
		}
	}
}

// connect opens a stream. As with real streams, the agent is notified before the entry.
func (c *cluster) connect(s *agentStream) {
	if known, ok := c.state.Member(s.agent.id.Name); !ok || known.Identity != s.agent.id || known.State == specifier.Down {
		return
	}
	s.open, s.number = true, c.nextID()
	c.stepAgent(s.agent, executor.Connected{Entry: s.entry.id, Stream: s.number})
	c.stepEntry(s.entry, coordinator.MembersChanged{Version: c.state.MemberVersion(), Members: c.state.Members()})
	c.stepEntry(s.entry, coordinator.AgentConnected{Agent: s.agent.id})
}

// disconnect loses the messages in transit, except the first received ones, which the agent still reads.
func (c *cluster) disconnect(s *agentStream, received int) {
	if !s.open {
		return
	}
	s.open = false
	s.earlierToAgent = append(s.earlierToAgent, s.toAgent[:min(received, len(s.toAgent))]...)
	s.toAgent, s.toEntry = nil, nil
	if s.entry.alive {
		c.stepEntry(s.entry, coordinator.AgentDisconnected{Agent: s.agent.id})
	}
}

func (c *cluster) sendToAgent(e *entryNode, id specifier.Identity, event func(*agentStream) executor.Event) {
	for _, a := range c.agents {
		if s := c.stream(e, a); a.id == id && s.open {
			s.toAgent = append(s.toAgent, event(s))
		}
	}
}

func (c *cluster) sendToEntry(a *agentNode, id specifier.Identity, event coordinator.Event) {
	for _, e := range c.entries {
		if s := c.stream(e, a); e.id == id && s.open {
			s.toEntry = append(s.toEntry, event)
		}
	}
}

// deliver delivers the next message of a stream in each direction, and one that the agent still reads from an earlier
// stream.
func (c *cluster) deliver(s *agentStream) {
	if len(s.earlierToAgent) > 0 && s.agent.alive {
		event := s.earlierToAgent[0]
		s.earlierToAgent = s.earlierToAgent[1:]
		c.stepAgent(s.agent, event)
	}
	if len(s.toAgent) > 0 && s.open {
		event := s.toAgent[0]
		s.toAgent = s.toAgent[1:]
		c.stepAgent(s.agent, event)
	}
	if len(s.toEntry) > 0 && s.open {
		event := s.toEntry[0]
		s.toEntry = s.toEntry[1:]
		c.stepEntry(s.entry, event)
	}
}
