package requester

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"oleandertally/core/encoder"
	"oleandertally/core/locator"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

const (
	mailboxSize = 4096
	silence     = 400 * time.Millisecond
)

// Requester calls the leading controller. Exported fields are set before Run.
type Requester struct {
	Seeds       []netip.AddrPort // controllers to ask first
	Credentials credentials.TransportCredentials
	Clock       func() time.Time
	// LeaderChanged is told when a leading controller is found or lost; it must not block.
	LeaderChanged func(controller netip.AddrPort, cause error)

	mailbox *looper.Mailbox[event]
	seeker  *locator.Locator[*encoder.QueueReplies, *encoder.QueueCalls]
}

// Open prepares the requester for calls, which wait until it runs.
func (r *Requester) Open() {
	r.mailbox = looper.NewMailbox[event](mailboxSize)
	r.seeker = &locator.Locator[*encoder.QueueReplies, *encoder.QueueCalls]{
		Seeds: r.Seeds, Credentials: r.Credentials, Silence: silence,
		Open: func(ctx context.Context, conn *grpc.ClientConn) (locator.Stream[*encoder.QueueReplies, *encoder.QueueCalls], error) {
			return encoder.NewQueueKeeperClient(conn).Call(ctx)
		},
		Welcome: (*encoder.QueueReplies).GetWelcome,
		Merge:   merge,
		Linked: func(ctx context.Context, controller netip.AddrPort, box *looper.Outbox[*encoder.QueueCalls]) error {
			r.LeaderChanged(controller, nil)
			return r.mailbox.Send(ctx, linked{box})
		},
		Received: func(ctx context.Context, message *encoder.QueueReplies) error {
			return r.mailbox.Send(ctx, replied{message})
		},
		Unlinked: func(ctx context.Context, cause error) error {
			r.LeaderChanged(netip.AddrPort{}, cause)
			return r.mailbox.Send(ctx, unlinked{})
		},
	}
}

// Run passes calls on until ctx ends. Open comes first.
func (r *Requester) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	loop := &looper.Loop[event, action]{Machine: newMachine(), Mailbox: r.mailbox, Perform: perform, Clock: r.Clock}
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return r.seeker.Run(ctx) })
	return group.Wait()
}

// SetSeeds replaces the controllers to ask first.
func (r *Requester) SetSeeds(seeds []netip.AddrPort) { r.seeker.SetSeeds(seeds) }

// Known returns the leader, or the zero address while there is none, and the controllers that one of them told last.
func (r *Requester) Known() (leader netip.AddrPort, controllers []netip.AddrPort) {
	return r.seeker.Known()
}

// Call returns the reply, ErrUnsent or ErrUnanswered at the deadline, or the context's error.
func (r *Requester) Call(ctx context.Context, call specifier.QueueCall, deadline time.Time) (specifier.QueueReply, error) {
	answered := make(chan answer, 1)
	if err := r.mailbox.Send(ctx, asked{call: call, deadline: deadline, answered: answered}); err != nil {
		return specifier.QueueReply{}, err
	}
	select {
	case got := <-answered:
		return got.reply, got.err
	case <-ctx.Done():
		// The call goes on in the control goroutine until it is told.
		_ = r.mailbox.Send(context.WithoutCancel(ctx), left{answered})
		return specifier.QueueReply{}, context.Cause(ctx)
	}
}

// perform runs on the control goroutine and does not block.
func perform(a action) {
	if a.answered != nil {
		a.answered <- a.answer
		return
	}
	a.box.Put(a.message)
}

// merge puts calls that wait into one message.
func merge(list []*encoder.QueueCalls) []*encoder.QueueCalls {
	for _, each := range list[1:] {
		list[0].Items = append(list[0].Items, each.Items...)
	}
	return list[:1]
}
