package registrant

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

const (
	// answerBound is how long a controller may take to answer a presence before another is tried.
	answerBound = 1500 * time.Millisecond
	// redialBound is the most that a member waits between two controllers.
	redialBound = 200 * time.Millisecond
)

// Attender attends for one member. Exported fields are set before Run.
type Attender struct {
	Member      specifier.Member // its incarnation is replaced when the controllers expel it
	Controllers []netip.AddrPort
	Pool        *dialer.Pool
	Notify      func(context.Context, Notice) error // called from one goroutine
	// Load returns what presences report; nil for a member that has none.
	Load func() *specifier.Load
	// Needs returns what an entry's teams could use; nil for other members.
	Needs func() []specifier.ServiceShare
	Log   zerolog.Logger

	changes  chan specifier.Member
	roster   roster
	revision specifier.Revision
	sent     time.Time // of the presence that is not answered yet
}

// New returns an attender whose fields are still to be set.
func New() *Attender { return &Attender{changes: make(chan specifier.Member, 1)} }

// Announce replaces what is announced, but for the identity. Only the newest one counts.
func (a *Attender) Announce(member specifier.Member) {
	select {
	case <-a.changes:
	default:
	}
	a.changes <- member
}

// Run attends until ctx ends.
func (a *Attender) Run(ctx context.Context) error {
	if len(a.Controllers) == 0 {
		return errors.New("attender: Controllers: is empty, expected at least one address")
	}
	next := 0
	addr := a.Controllers[0]
	for ctx.Err() == nil {
		leader, err := a.session(ctx, addr)
		if leader.IsValid() {
			addr = leader
		} else {
			next = (next + 1) % len(a.Controllers)
			addr = a.Controllers[next]
		}
		if err != nil && ctx.Err() == nil {
			a.Log.Debug().Err(err).Str("Peer", addr.String()).Msg("attendance ended")
		}
		looper.Pause(ctx, time.Duration(rand.Int64N(int64(redialBound))))
	}
	return context.Cause(ctx)
}

// RunUntil attends until leave is closed, and then returns nil, or until ctx ends.
func (a *Attender) RunUntil(ctx context.Context, leave <-chan struct{}) error {
	attending, cancel := context.WithCancel(ctx)
	defer cancel()
	group, _ := errgroup.WithContext(ctx)
	group.Go(func() error {
		select {
		case <-leave:
			cancel()
		case <-attending.Done():
		}
		return nil
	})
	err := a.Run(attending)
	cancel()
	_ = group.Wait()
	if ctx.Err() == nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// session attends at one controller. It returns the leader that the controller names, if any.
func (a *Attender) session(ctx context.Context, addr netip.AddrPort) (leader netip.AddrPort, err error) {
	conn, err := a.Pool.Conn(addr)
	if err != nil {
		return leader, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := encoder.NewRegistryClient(conn).Attend(ctx)
	if err != nil {
		return leader, errors.Wrap(err, "attender: open the stream")
	}
	updates := make(chan specifier.Update)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			message, err := stream.Recv()
			if err != nil {
				return errors.Wrap(err, "attender: receive")
			}
			update, err := encoder.DecodeUpdate(message)
			if err != nil {
				return errors.Wrap(err, "attender: update")
			}
			select {
			case updates <- update:
			case <-groupCtx.Done():
				return groupCtx.Err()
			}
		}
	})
	group.Go(func() error {
		defer cancel()
		leader, err = a.converse(groupCtx, stream, updates)
		return err
	})
	return leader, group.Wait()
}

// converse sends presences and handles updates until the session ends.
func (a *Attender) converse(ctx context.Context, stream encoder.Registry_AttendClient, updates <-chan specifier.Update) (netip.AddrPort, error) {
	var none netip.AddrPort
	a.sent = time.Time{}
	if err := a.send(stream, true); err != nil {
		return none, err
	}
	timer := time.NewTimer(answerBound)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return none, context.Cause(ctx)
		case member := <-a.changes:
			member.Identity = a.Member.Identity
			a.Member = member
			if err := a.send(stream, true); err != nil {
				return none, err
			}
			timer.Reset(answerBound)
		case <-timer.C:
			if !a.sent.IsZero() {
				return none, errors.New("attender: the controller did not answer in time")
			}
			if err := a.send(stream, false); err != nil {
				return none, err
			}
			timer.Reset(answerBound)
		case update := <-updates:
			if update.NotLeader {
				return update.Leader, errors.New("attender: the controller does not lead")
			}
			if update.Expelled {
				a.Member.Incarnation = specifier.Incarnation(rand.Uint64())
				return none, errors.New("attender: this incarnation is recorded as Down")
			}
			if err := a.handle(ctx, update, timer); err != nil {
				return none, err
			}
		}
	}
}

func (a *Attender) handle(ctx context.Context, update specifier.Update, timer *time.Timer) error {
	notice := Notice{Self: a.Member.Identity, Members: a.roster.merge(update), Version: a.roster.version}
	if update.Configuration != nil && update.Configuration.Revision > a.revision {
		a.revision = update.Configuration.Revision
		notice.Configuration = update.Configuration
	}
	if update.Lease > 0 && !a.sent.IsZero() {
		notice.Until = a.sent.Add(update.Lease)
		notice.Shares = update.Shares
		a.sent = time.Time{}
		timer.Reset(update.Lease / 3)
	}
	return a.Notify(ctx, notice)
}

func (a *Attender) send(stream encoder.Registry_AttendClient, whole bool) error {
	presence := specifier.Presence{Revision: a.revision}
	if whole {
		member := a.Member
		presence.Member = &member
	}
	if a.Needs != nil {
		presence.Needs = a.Needs()
	}
	if a.Load != nil {
		presence.Load = a.Load()
	}
	// While an answer is outstanding the earlier time stands, so that a lease is never counted
	// from a later presence than the one it answers.
	if a.sent.IsZero() {
		a.sent = time.Now()
	}
	return errors.Wrap(stream.Send(encoder.EncodePresence(presence)), "attender: send")
}
