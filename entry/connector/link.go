package connector

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

// linkRedial is how long a link waits before it opens a broken stream again.
const linkRedial = 100 * time.Millisecond

// link is the stream to one agent, opened again when it breaks.
type link struct {
	agents *Agents
	member specifier.Member
	cancel context.CancelFunc

	mutex sync.Mutex
	box   *box // of the present stream
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.session(ctx); err != nil && ctx.Err() == nil {
			l.agents.Log.Debug().Err(err).Str("Peer", l.member.Name).Msg("agent stream ended")
		}
		looper.Pause(ctx, linkRedial)
	}
}

func (l *link) put(message *encoder.EntryMessage) {
	l.mutex.Lock()
	box := l.box
	l.mutex.Unlock()
	if box != nil {
		box.Put(message)
	}
}

// session runs one stream. Its receiving goroutine has ended before the next stream begins, so
// a message of an old stream never follows one of a new stream.
func (l *link) session(ctx context.Context) error {
	conn, err := l.agents.Pool.Conn(l.member.Addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := encoder.NewWorkerClient(conn).Link(ctx)
	if err != nil {
		return errors.Wrap(err, "link: open the stream")
	}
	self := l.agents.Self()
	hello := &encoder.EntryMessage{Hello: encoder.EncodeIdentity(self), Target: uint64(l.member.Incarnation)}
	if err := stream.Send(hello); err != nil {
		return errors.Wrap(err, "link: greet")
	}
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "link: greeting")
	}
	box := looper.NewOutbox[*encoder.EntryMessage]()
	l.setBox(box)
	defer l.setBox(nil)
	id := l.member.Identity
	if err := deliver(ctx, l.agents.Sink, coordinator.AgentConnected{Agent: id}); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.send(ctx, stream, box) })
	group.Go(func() error { return l.receive(ctx, stream, first) })
	err = group.Wait()
	// Sent even if this process is stopping, since the coordinator still counts on the link.
	_ = deliver(l.agents.Ctx, l.agents.Sink, coordinator.AgentDisconnected{Agent: id})
	return err
}

func (l *link) setBox(box *box) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.box = box
}

// send merges what waits into one message.
func (l *link) send(ctx context.Context, stream encoder.Worker_LinkClient, box *box) error {
	for {
		messages, err := box.Take(ctx)
		if err != nil {
			return err
		}
		for len(messages) > 0 {
			var merged *encoder.EntryMessage
			merged, messages = merge(messages)
			if err := stream.Send(merged); err != nil {
				return errors.Wrap(err, "link: send")
			}
		}
	}
}

func (l *link) receive(ctx context.Context, stream encoder.Worker_LinkClient, first *encoder.AgentMessage) error {
	for message := first; ; {
		events, err := decodeAgentMessage(l.member.Identity, message)
		if err != nil {
			return err
		}
		if err := deliver(ctx, l.agents.Sink, events...); err != nil {
			return err
		}
		if message, err = stream.Recv(); err != nil {
			return errors.Wrap(err, "link: receive")
		}
	}
}
