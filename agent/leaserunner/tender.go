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

// Tender is the process beside a worker. Exported fields are set before Run.
type Tender struct {
	Name        string
	Seeds       []netip.AddrPort // controllers to ask first
	Credentials credentials.TransportCredentials
	Worker      Worker
	GrantSpan   time.Duration // of the controllers
	HoldMost    time.Duration // longest lease that the worker gives
	Clock       func() time.Time
	Log         zerolog.Logger
	Noted       func(leaseholder.Note) // told of each decision; must not block; nil for nobody

	mailbox *looper.Mailbox[event]
	seeker  *locator.Locator[*encoder.QueueOrder, *encoder.QueueReport]
	calls   *errgroup.Group
	ctx     context.Context
}

// Open prepares the agent for events, which wait until it runs. It returns an error that names the first field that is missing.
func (t *Tender) Open() error {
	switch {
	case t.Name == "":
		return errors.New("tender: Name: is empty")
	case t.Worker == nil, t.Clock == nil, t.Credentials == nil:
		return errors.New("tender: Worker, Clock, Credentials: must be set")
	case t.GrantSpan <= 0, t.HoldMost <= 0:
		return errors.New("tender: GrantSpan, HoldMost: expected more than 0")
	}
	t.mailbox = looper.NewMailbox[event](mailboxSize)
	t.seeker = &locator.Locator[*encoder.QueueOrder, *encoder.QueueReport]{
		Seeds: t.Seeds, Credentials: t.Credentials, Silence: silence,
		Open: func(ctx context.Context, conn *grpc.ClientConn) (locator.Stream[*encoder.QueueOrder, *encoder.QueueReport], error) {
			return encoder.NewQueueKeeperClient(conn).Attend(ctx)
		},
		Welcome: (*encoder.QueueOrder).GetWelcome,
		Linked: func(ctx context.Context, controller netip.AddrPort, box *looper.Outbox[*encoder.QueueReport]) error {
			t.Log.Info().Str("Event", "LeaderFound").Stringer("Controller", controller).Send()
			return t.mailbox.Send(ctx, event{box: box})
		},
		Received: func(ctx context.Context, message *encoder.QueueOrder) error {
			if message.Welcome != nil {
				return nil
			}
			return t.mailbox.Send(ctx, event{control: leaseholder.Ordered{Order: encoder.DecodeLeaseOrder(message)}})
		},
		Unlinked: func(ctx context.Context, cause error) error {
			t.Log.Warn().Str("Event", "LeaderLost").AnErr("Error", cause).Send()
			return t.mailbox.Send(ctx, event{unlink: true})
		},
	}
	return nil
}

// Run serves until ctx ends. Open comes first.
func (t *Tender) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	t.calls, t.ctx = group, ctx
	holder := &leaseholder.LeaseHolder{Name: t.Name, Incarnation: specifier.Incarnation(rand.Uint64()), GrantSpan: t.GrantSpan,
		HoldMost: t.HoldMost, Began: t.Clock()}
	loop := &looper.Loop[event, action]{Machine: &machine{holder: holder}, Mailbox: t.mailbox, Perform: t.perform, Clock: t.Clock}
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return t.seeker.Run(ctx) })
	return group.Wait()
}

// SetSeeds replaces the controllers to ask first.
func (t *Tender) SetSeeds(seeds []netip.AddrPort) { t.seeker.SetSeeds(seeds) }

// Announced passes on what the worker says of itself.
func (t *Tender) Announced(ctx context.Context, announced leaseholder.Announced) error {
	return t.mailbox.Send(ctx, event{control: announced})
}

// Departed passes on that the worker ends.
func (t *Tender) Departed(ctx context.Context, id string) error {
	return t.mailbox.Send(ctx, event{control: leaseholder.Departed{ID: id}})
}

// Leave takes no more starts, and returns when nothing runs any more.
func (t *Tender) Leave(ctx context.Context) error {
	idle := make(chan struct{})
	if err := t.mailbox.Send(ctx, event{idle: idle}); err != nil {
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
func (t *Tender) perform(a action) {
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
		t.call(startWithin, func(ctx context.Context) leaseholder.Event { return t.Worker.Start(ctx, control) })
	case leaseholder.Stop:
		t.call(stopWithin, func(ctx context.Context) leaseholder.Event { return t.Worker.Stop(ctx, control) })
	case leaseholder.Hold:
		t.call(control.Wait+holdWithin, func(ctx context.Context) leaseholder.Event { return t.Worker.Hold(ctx, control) })
	case leaseholder.Note:
		t.logNote(control)
	}
}

// call makes one call to the worker on a goroutine of its own.
func (t *Tender) call(within time.Duration, make func(ctx context.Context) leaseholder.Event) {
	t.calls.Go(func() error {
		ctx, cancel := context.WithTimeout(t.ctx, within)
		defer cancel()
		return t.mailbox.Send(t.ctx, event{control: make(ctx)})
	})
}

func (t *Tender) logNote(note leaseholder.Note) {
	if t.Noted != nil {
		t.Noted(note)
	}
	line := t.Log.Info().Str("Event", note.Event)
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
