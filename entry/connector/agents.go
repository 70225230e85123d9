package connector

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
)

// Agents maintains one stream to each agent that is a member. Exported fields are set before use.
type Agents struct {
	Self  func() specifier.Identity
	Pool  *dialer.Pool
	Sink  *Sink
	Log   zerolog.Logger
	Clock func() time.Time
	Group *supervisor.GuardedGroup // runs the streams
	Ctx   context.Context          // ends the streams

	mutex       sync.Mutex
	connections map[specifier.Identity]*connection
}

// SetMembers opens streams to new agents and closes the streams to agents that have departed or are Down.
func (a *Agents) SetMembers(members []specifier.Member) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.connections == nil {
		a.connections = make(map[specifier.Identity]*connection)
	}
	wanted := make(map[specifier.Identity]bool)
	for _, member := range members {
		if member.Role != specifier.Agent || member.State == specifier.Down {
			continue
		}
		wanted[member.Identity] = true
		if a.connections[member.Identity] == nil {
			a.open(member)
		}
	}
	for id, connection := range a.connections {
		if !wanted[id] {
			connection.cancel()
			delete(a.connections, id)
		}
	}
}

func (a *Agents) open(member specifier.Member) {
	ctx, cancel := context.WithCancel(a.Ctx)
	connection := &connection{agents: a, member: member, cancel: cancel}
	a.connections[member.Identity] = connection
	a.Group.Go(func() error {
		connection.run(ctx)
		return nil
	})
}

// Put queues a message for an agent. Without a stream the message is dropped: once a stream opens, the coordinator
// asks the agent which tasks it has.
func (a *Agents) Put(agent specifier.Identity, message *encoder.EntryMessage) {
	a.mutex.Lock()
	connection := a.connections[agent]
	a.mutex.Unlock()
	if connection != nil {
		connection.put(message)
	}
}

// outbox is the send queue of a connection's current stream.
type outbox = looper.Outbox[*encoder.EntryMessage]
