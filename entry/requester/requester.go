package requester

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"oleandertally/core/encoder"
	"oleandertally/core/locator"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
)

const (
	mailboxSize = 4096
	// idleTimeout is about as long as an election takes: before its end there is no other leader to find.
	idleTimeout = 400 * time.Millisecond
)

// Requester calls the leading controller. Exported fields are set before Run.
type Requester struct {
	Seeds       []netip.AddrPort // addresses at which the search for the leader begins
	Credentials credentials.TransportCredentials
	Clock       func() time.Time
	OwnRelay    netip.AddrPort // address of the relay in this process, which is announced to the leader; zero for none
	// LeaderChanged is called when a leading controller is found or lost; it must not block.
	LeaderChanged func(controller netip.AddrPort, cause error)

	mailbox *looper.Mailbox[event]
	locator *locator.Locator[*encoder.QueueReplies, *encoder.QueueCalls]
}

// Open prepares the requester for calls, which are queued until Run is called.
func (r *Requester) Open() {
	r.mailbox = looper.NewMailbox[event](mailboxSize)
	r.locator = &locator.Locator[*encoder.QueueReplies, *encoder.QueueCalls]{
		Seeds: r.Seeds, OwnRelay: r.OwnRelay, Credentials: r.Credentials, IdleTimeout: idleTimeout,
		Open: func(ctx context.Context, conn *grpc.ClientConn) (locator.Stream[*encoder.QueueReplies, *encoder.QueueCalls], error) {
			return encoder.NewQueueKeeperClient(conn).Call(ctx)
		},
		Welcome: (*encoder.QueueReplies).GetWelcome,
		Merge:   merge,
		Connected: func(ctx context.Context, controller netip.AddrPort, outbox *looper.Outbox[*encoder.QueueCalls]) error {
			r.LeaderChanged(controller, nil)
			return r.mailbox.Send(ctx, connected{outbox})
		},
		Received: func(ctx context.Context, message *encoder.QueueReplies) error {
			return r.mailbox.Send(ctx, repliesReceived{message})
		},
		Disconnected: func(ctx context.Context, cause error) error {
			r.LeaderChanged(netip.AddrPort{}, cause)
			return r.mailbox.Send(ctx, disconnected{})
		},
	}
}

// Run sends calls until ctx ends. Open must be called first.
func (r *Requester) Run(ctx context.Context) error {
	group, ctx := supervisor.WithContext(ctx)
	machine := newMachine()
	if r.OwnRelay.IsValid() {
		machine.relay = r.OwnRelay.String()
	}
	loop := &looper.Loop[event, action]{Machine: machine, Mailbox: r.mailbox, Perform: perform, Clock: r.Clock}
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return r.locator.Run(ctx) })
	return group.Wait()
}

// SetSeeds replaces the addresses at which the search for the leader begins.
func (r *Requester) SetSeeds(seeds []netip.AddrPort) { r.locator.SetSeeds(seeds) }

// Known returns the leader, or the zero address while there is none, and the list of controllers that one of them
// reported last.
func (r *Requester) Known() (leader netip.AddrPort, controllers []netip.AddrPort) {
	return r.locator.KnownControllers()
}

// Relay returns the relay through which the leader is reached, or the zero address without one.
func (r *Requester) Relay() netip.AddrPort { return r.locator.Relay() }

// IsController reports whether an address is that of a known controller.
func (r *Requester) IsController(addr netip.AddrPort) bool { return r.locator.IsController(addr) }

// Call sends a call and returns the reply. It fails with ErrUnsent or ErrUnanswered at the deadline, or earlier if there is
// no leader, with ErrInvalid for a call that can't be encoded, and with the cause of ctx if ctx ends first.
func (r *Requester) Call(ctx context.Context, call specifier.QueueCall, deadline time.Time) (specifier.QueueReply, error) {
	if err := call.Check(); err != nil {
		// The stream carries the calls of many callers, and would break if one of them could not be encoded.
		return specifier.QueueReply{}, errors.Mark(err, ErrInvalid)
	}
	replyTo := make(chan answer, 1)
	if err := r.mailbox.Send(ctx, callStarted{call: call, deadline: deadline, replyTo: replyTo}); err != nil {
		return specifier.QueueReply{}, err
	}
	select {
	case got := <-replyTo:
		return got.reply, got.err
	case <-ctx.Done():
		// The control goroutine keeps the call until it receives this event.
		_ = r.mailbox.Send(context.WithoutCancel(ctx), callAbandoned{replyTo})
		return specifier.QueueReply{}, context.Cause(ctx)
	}
}

// perform runs on the control goroutine and does not block.
func perform(a action) {
	if a.replyTo != nil {
		a.replyTo <- a.answer
		return
	}
	a.outbox.Put(a.message)
}

// merge joins queued messages into one.
func merge(list []*encoder.QueueCalls) []*encoder.QueueCalls {
	for _, each := range list[1:] {
		list[0].Items = append(list[0].Items, each.Items...)
	}
	return list[:1]
}
