package connector

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
	"oleandertally/entry/coordinator"
)

// reconnectDelay is how long a connection waits before it reopens a broken stream.
const reconnectDelay = 100 * time.Millisecond

// connection is the stream to one agent. A broken stream is reopened.
type connection struct {
	agents *Agents
	member specifier.Member
	cancel context.CancelFunc

	mutex  sync.Mutex
	outbox *outbox // outbox of the current stream; nil without one
}

func (c *connection) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.session(ctx); err != nil && ctx.Err() == nil {
			c.agents.Log.Debug().Err(err).Str("Peer", c.member.Name).Msg("agent stream ended")
		}
		looper.Pause(ctx, reconnectDelay)
	}
}

func (c *connection) put(message *encoder.EntryMessage) {
	c.mutex.Lock()
	outbox := c.outbox
	c.mutex.Unlock()
	if outbox != nil {
		outbox.Put(message)
	}
}

// session runs one stream. Its receiving goroutine ends before the next stream opens, so a message of an
// earlier stream is never delivered after one of a later stream.
func (c *connection) session(ctx context.Context) error {
	conn, err := c.agents.Pool.Conn(c.member.Addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := encoder.NewWorkerClient(conn).Link(ctx)
	if err != nil {
		return errors.Wrap(err, "connector: open the agent stream")
	}
	self := c.agents.Self()
	hello := &encoder.EntryMessage{Hello: encoder.EncodeIdentity(self), Target: uint64(c.member.Incarnation)}
	if err := stream.Send(hello); err != nil {
		return errors.Wrap(err, "connector: send the greeting to the agent")
	}
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "connector: receive the first message of the agent")
	}
	outbox := looper.NewOutbox[*encoder.EntryMessage]()
	c.setOutbox(outbox)
	defer c.setOutbox(nil)
	id := c.member.Identity
	if err := deliver(ctx, c.agents.Sink, coordinator.AgentConnected{Agent: id}); err != nil {
		return err
	}
	group, ctx := supervisor.WithContext(ctx)
	group.Go(func() error { return c.send(ctx, stream, outbox) })
	group.Go(func() error { return c.receive(ctx, stream, first) })
	err = group.Wait()
	// Delivered even after the connection was cancelled, since the coordinator still relies on the stream.
	_ = deliver(c.agents.Ctx, c.agents.Sink, coordinator.AgentDisconnected{Agent: id})
	return err
}

func (c *connection) setOutbox(outbox *outbox) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outbox = outbox
}

// send merges queued messages and sends them.
func (c *connection) send(ctx context.Context, stream encoder.Worker_LinkClient, outbox *outbox) error {
	for {
		messages, err := outbox.Take(ctx)
		if err != nil {
			return err
		}
		for len(messages) > 0 {
			var merged *encoder.EntryMessage
			merged, messages = merge(messages)
			if err := stream.Send(merged); err != nil {
				return errors.Wrap(err, "connector: send to the agent")
			}
		}
	}
}

func (c *connection) receive(ctx context.Context, stream encoder.Worker_LinkClient, first *encoder.AgentMessage) error {
	for message := first; ; {
		events, err := decodeAgentMessage(c.member.Identity, message)
		if err != nil {
			return err
		}
		if err := deliver(ctx, c.agents.Sink, events...); err != nil {
			return err
		}
		if message, err = stream.Recv(); err != nil {
			return errors.Wrap(err, "connector: receive from the agent")
		}
	}
}
