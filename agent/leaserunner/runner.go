package leaserunner

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"oleandertally/agent/leaseholder"
	"oleandertally/core/encoder"
	"oleandertally/core/locator"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
)

const (
	mailboxSize = 1024
	// idleTimeout is about as long as an election takes: before its end there is no other leader to find.
	idleTimeout = 400 * time.Millisecond
	// idleRenewals is the least number of renewals, each of which the leading controller answers, within the time-out. With fewer,
	// agents reconnect while a new leader is busy with all of them.
	idleRenewals = 4
	// startTimeout, stopTimeout and identifyTimeout are for calls that a worker answers without waiting.
	startTimeout    = 50 * time.Millisecond
	stopTimeout     = 50 * time.Millisecond
	identifyTimeout = 50 * time.Millisecond
	// pollMargin is added to the wait time of a poll.
	pollMargin = 50 * time.Millisecond
)

// Runner is the agent beside a worker. Exported fields are set before Run.
type Runner struct {
	Name        string
	Zone        string           // availability zone of the host
	Seeds       []netip.AddrPort // addresses at which the search for the leader begins
	Credentials credentials.TransportCredentials
	Worker      Worker
	GrantSpan   time.Duration // duration of a controller's grant
	MaxLease    time.Duration // longest lease that the worker gives
	Clock       func() time.Time
	Log         zerolog.Logger
	Logged      func(leaseholder.LogEvent) // called with each logged event if not nil; must not block

	mailbox *looper.Mailbox[event]
	locator *locator.Locator[*encoder.QueueOrder, *encoder.QueueReport]
	calls   *supervisor.GuardedGroup
	ctx     context.Context
}

// Open prepares the agent for events, which are queued until Run is called. It returns an error that names the first field
// that is missing.
func (r *Runner) Open() error {
	switch {
	case r.Name == "":
		return errors.New("leaserunner: Name: is empty")
	case r.Worker == nil, r.Clock == nil, r.Credentials == nil:
		return errors.New("leaserunner: Worker, Clock, Credentials: must be set")
	case r.GrantSpan <= 0, r.MaxLease <= 0:
		return errors.New("leaserunner: GrantSpan, MaxLease: expected more than 0")
	}
	r.mailbox = looper.NewMailbox[event](mailboxSize)
	r.locator = &locator.Locator[*encoder.QueueOrder, *encoder.QueueReport]{
		Seeds: r.Seeds, Credentials: r.Credentials, IdleTimeout: idleTimeout,
		Open: func(ctx context.Context, conn *grpc.ClientConn) (locator.Stream[*encoder.QueueOrder, *encoder.QueueReport], error) {
			return encoder.NewQueueKeeperClient(conn).Attend(ctx)
		},
		Welcome: (*encoder.QueueOrder).GetWelcome,
		Connected: func(ctx context.Context, controller netip.AddrPort, outbox *looper.Outbox[*encoder.QueueReport]) error {
			line := r.Log.Info().Str("Event", "LeaderFound").Stringer("Controller", controller)
			if relay := r.locator.Relay(); relay.IsValid() {
				line = line.Stringer("Relay", relay)
			}
			line.Send()
			return r.mailbox.Send(ctx, event{outbox: outbox})
		},
		Received: func(ctx context.Context, message *encoder.QueueOrder) error {
			if message.Welcome != nil {
				return nil
			}
			order := encoder.DecodeLeaseOrder(message)
			if order.RenewAfter > 0 {
				r.locator.SetIdleTimeout(max(idleRenewals*order.RenewAfter, idleTimeout))
			}
			return r.mailbox.Send(ctx, event{control: leaseholder.OrderReceived{Order: order}})
		},
		Disconnected: func(ctx context.Context, cause error) error {
			r.Log.Warn().Str("Event", "LeaderLost").AnErr("Error", cause).Send()
			return r.mailbox.Send(ctx, event{disconnected: true})
		},
	}
	return nil
}

// Run serves until ctx ends. Open must be called first.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := supervisor.WithContext(ctx)
	r.calls, r.ctx = group, ctx
	holder := &leaseholder.LeaseHolder{Name: r.Name, Zone: r.Zone, Incarnation: specifier.Incarnation(rand.Uint64()), GrantSpan: r.GrantSpan,
		MaxLease: r.MaxLease, StartedAt: r.Clock()}
	loop := &looper.Loop[event, action]{Machine: &machine{holder: holder}, Mailbox: r.mailbox, Perform: r.perform, Clock: r.Clock}
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return r.locator.Run(ctx) })
	return group.Wait()
}

// SetSeeds replaces the addresses at which the search for the leader begins.
func (r *Runner) SetSeeds(seeds []netip.AddrPort) { r.locator.SetSeeds(seeds) }

// Announced forwards an announcement of the worker.
func (r *Runner) Announced(ctx context.Context, announced leaseholder.Announced) error {
	return r.mailbox.Send(ctx, event{control: announced})
}

// Departed reports that the worker with this ID terminates.
func (r *Runner) Departed(ctx context.Context, id string) error {
	return r.mailbox.Send(ctx, event{control: leaseholder.Departed{ID: id}})
}

// Leave makes the agent refuse further starts, and returns once the worker runs nothing and the controller has acknowledged
// every end.
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
		if a.outbox != nil {
			a.outbox.Put(encoder.EncodeLeaseReport(control.Report))
		}
	case leaseholder.Start:
		r.call(startTimeout, func(ctx context.Context) leaseholder.Event { return r.Worker.Start(ctx, control) })
	case leaseholder.Stop:
		r.call(stopTimeout, func(ctx context.Context) leaseholder.Event { return r.Worker.Stop(ctx, control) })
	case leaseholder.Poll:
		r.call(control.Wait+pollMargin, func(ctx context.Context) leaseholder.Event { return r.Worker.Poll(ctx, control) })
	case leaseholder.Identify:
		r.call(identifyTimeout, func(ctx context.Context) leaseholder.Event { return r.Worker.Identify(ctx, control) })
	case leaseholder.LogEvent:
		r.logEvent(control)
	}
}

// call makes one call to the worker on its own goroutine.
func (r *Runner) call(timeout time.Duration, do func(ctx context.Context) leaseholder.Event) {
	r.calls.Go(func() error {
		ctx, cancel := context.WithTimeout(r.ctx, timeout)
		defer cancel()
		return r.mailbox.Send(r.ctx, event{control: do(ctx)})
	})
}

func (r *Runner) logEvent(event leaseholder.LogEvent) {
	if r.Logged != nil {
		r.Logged(event)
	}
	line := r.Log.Info().Str("Event", event.Event)
	if event.Task != "" {
		line = line.Str("Job", jobOf(event.Task)).Str("Task", event.Task).Uint64("Run", event.Run)
	}
	if event.Detail != "" {
		line = line.Str("Detail", event.Detail)
	}
	if event.Age != 0 {
		line = line.Dur("AgeMillis", event.Age)
	}
	line.Int("Count", event.Count).Send()
}
