package connector

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

// Agents keeps one stream to each agent that is a member. Exported fields are set before use.
type Agents struct {
	Self  func() specifier.Identity
	Pool  *dialer.Pool
	Sink  *Sink
	Log   zerolog.Logger
	Clock func() time.Time
	Group *errgroup.Group // runs the streams
	Ctx   context.Context // ends the streams

	mutex sync.Mutex
	links map[specifier.Identity]*link
}

// SetMembers opens streams to new agents and closes those to agents that are gone.
func (a *Agents) SetMembers(members []specifier.Member) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.links == nil {
		a.links = make(map[specifier.Identity]*link)
	}
	wanted := make(map[specifier.Identity]bool)
	for _, member := range members {
		if member.Role != specifier.Agent || member.State == specifier.Down {
			continue
		}
		wanted[member.Identity] = true
		if a.links[member.Identity] == nil {
			a.open(member)
		}
	}
	for id, link := range a.links {
		if !wanted[id] {
			link.cancel()
			delete(a.links, id)
		}
	}
}

func (a *Agents) open(member specifier.Member) {
	ctx, cancel := context.WithCancel(a.Ctx)
	link := &link{agents: a, member: member, cancel: cancel}
	a.links[member.Identity] = link
	a.Group.Go(func() error {
		link.run(ctx)
		return nil
	})
}

// Put queues a message for an agent. It is dropped while there is no stream: the coordinator
// asks for what the agent holds once there is one.
func (a *Agents) Put(agent specifier.Identity, message *encoder.EntryMessage) {
	a.mutex.Lock()
	link := a.links[agent]
	a.mutex.Unlock()
	if link != nil {
		link.put(message)
	}
}

// box is the queue of a link's present stream.
type box = looper.Outbox[*encoder.EntryMessage]
