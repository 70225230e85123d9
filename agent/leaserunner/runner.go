package leaserunner

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"oleandertally/agent/leaseholder"
	"oleandertally/core/encoder"
	"oleandertally/core/locator"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

const (
	mailboxSize = 1024
	// silence is longer than several renewals, each of which the leading controller answers.
	silence = 400 * time.Millisecond
	// startWithin and stopWithin bound calls that a worker answers at once.
	startWithin = 50 * time.Millisecond
	stopWithin  = 50 * time.Millisecond
	// holdWithin is added to the time that a hold waits.
	holdWithin = 50 * time.Millisecond
)

// Runner is the process beside a worker. Exported fields are set before Run.
type Runner struct {
	Name        string
	Seeds       []netip.AddrPort // controllers to ask first
	Credentials credentials.TransportCredentials
	Worker      Worker
	GrantSpan   time.Duration // of the controllers
	MaxLease    time.Duration // longest lease that the worker gives
	Clock       func() time.Time
	Log         zerolog.Logger
	Logged       func(leaseholder.LogEvent) // told of each decision; must not block; nil for nobody

	mailbox *looper.Mailbox[event]
	seeker  *locator.Locator[*encoder.QueueOrder, *encoder.QueueReport]
	calls   *errgroup.Group
	ctx     context.Context
}

// Open prepares the agent for events, which wait until it runs. It returns an error that names the first field that is missing.
func (r *Runner) Open() error {
	switch {
	case r.Name == "":
		return errors.New("leaserunner: Name: is empty")
	case r.Worker == nil, r.Clock == nil, r.Credentials == nil:
		return errors.New("leaserunner: Worker, Clock, Credentials: must be set")
	case r.GrantSpan <= 0, r.MaxLease <= 0:
		return errors.New("leaserunner: GrantSpan, HoldMost: expected more than 0")
	}
	r.mailbox = looper.NewMailbox[event](mailboxSize)
	r.seeker = &locator.Locator[*encoder.QueueOrder, *encoder.QueueReport]{
		Seeds: r.Seeds, Credentials: r.Credentials, Silence: silence,
		Open: func(ctx context.Context, conn *grpc.ClientConn) (locator.Stream[*encoder.QueueOrder, *encoder.QueueReport], error) {
			return encoder.NewQueueKeeperClient(conn).Attend(ctx)
		},
		Welcome: (*encoder.QueueOrder).GetWelcome,
		Linked: func(ctx context.Context, controller netip.AddrPort, box *looper.Outbox[*encoder.QueueReport]) error {
			r.Log.Info().Str("Event", "LeaderFound").Stringer("Controller", controller).Send()
			return r.mailbox.Send(ctx, event{box: box})
		},
		Received: func(ctx context.Context, message *encoder.QueueOrder) error {
			if message.Welcome != nil {
				return nil
			}
			return r.mailbox.Send(ctx, event{control: leaseholder.OrderReceived{Order: encoder.DecodeLeaseOrder(message)}})
		},
		Unlinked: func(ctx context.Context, cause error) error {
			r.Log.Warn().Str("Event", "LeaderLost").AnErr("Error", cause).Send()
			return r.mailbox.Send(ctx, event{unlink: true})
		},
	}
	return nil
}

// Run serves until ctx ends. Open comes first.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	r.calls, r.ctx = group, ctx
	holder := &leaseholder.LeaseHolder{Name: r.Name, Incarnation: specifier.Incarnation(rand.Uint64()), GrantSpan: r.GrantSpan,
		MaxLease: r.MaxLease, StartedAt: r.Clock()}
	loop := &looper.Loop[event, action]{Machine: &machine{holder: holder}, Mailbox: r.mailbox, Perform: r.perform, Clock: r.Clock}
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return r.seeker.Run(ctx) })
	return group.Wait()
}

// SetSeeds replaces the controllers to ask first.
func (r *Runner) SetSeeds(seeds []netip.AddrPort) { r.seeker.SetSeeds(seeds) }

// Announced passes on what the worker says of itself.
func (r *Runner) Announced(ctx context.Context, announced leaseholder.Announced) error {
	return r.mailbox.Send(ctx, event{control: announced})
}

// Departed passes on that the worker ends.
func (r *Runner) Departed(ctx context.Context, id string) error {
	return r.mailbox.Send(ctx, event{control: leaseholder.Departed{ID: id}})
}

// Leave takes no more starts, and returns when nothing runs any more.
func (r *Runner) Leave(ctx context.Context) error {
	idle := make(chan struct{})
	if err := r.mailbox.Send(ctx, event{idle: idle}); err != nil {
		return err
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// perform runs on the control goroutine and does not block.
func (r *Runner) perform(a action) {
	if a.idle != nil {
		close(a.idle)
		return
	}
	switch control := a.control.(type) {
	case leaseholder.Report:
		if a.box != nil {
			a.box.Put(encoder.EncodeLeaseReport(control.Report))
		}
	case leaseholder.Start:
		r.call(startWithin, func(ctx context.Context) leaseholder.Event { return r.Worker.Start(ctx, control) })
	case leaseholder.Stop:
		r.call(stopWithin, func(ctx context.Context) leaseholder.Event { return r.Worker.Stop(ctx, control) })
	case leaseholder.Poll:
		r.call(control.Wait+holdWithin, func(ctx context.Context) leaseholder.Event { return r.Worker.Poll(ctx, control) })
	case leaseholder.LogEvent:
		r.logNote(control)
	}
}

// call makes one call to the worker on a goroutine of its own.
func (r *Runner) call(within time.Duration, make func(ctx context.Context) leaseholder.Event) {
	r.calls.Go(func() error {
		ctx, cancel := context.WithTimeout(r.ctx, within)
		defer cancel()
		return r.mailbox.Send(r.ctx, event{control: make(ctx)})
	})
}

func (r *Runner) logNote(note leaseholder.LogEvent) {
	if r.Logged != nil {
		r.Logged(note)
	}
	line := r.Log.Info().Str("Event", note.Event)
	if note.Task != "" {
		line = line.Str("Job", jobOf(note.Task)).Str("Task", note.Task).Uint64("Run", note.Run)
	}
	if note.Detail != "" {
		line = line.Str("Detail", note.Detail)
	}
	if note.Age != 0 {
		line = line.Dur("AgeMillis", note.Age)
	}
	line.Int("Count", note.Count).Send()
}
