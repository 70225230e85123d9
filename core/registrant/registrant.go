package registrant

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
)

const (
	// answerTimeout is how long a controller may take to answer a heartbeat before another controller is tried.
	answerTimeout = 1500 * time.Millisecond
	// maxRedialDelay bounds the random delay before the next connection to a controller.
	maxRedialDelay = 200 * time.Millisecond
)

// Registrant keeps one member registered. Exported fields are set before Run.
type Registrant struct {
	Member      specifier.Member // gets a new incarnation when the controllers expel it
	Controllers []netip.AddrPort
	Pool        *dialer.Pool
	Notify      func(context.Context, Notification) error // called from one goroutine
	// Load returns the load that heartbeats report; nil for a member without one.
	Load func() *specifier.Load
	// Needs returns the slots that an entry's teams could use; nil for other members.
	Needs func() []specifier.ServiceShare
	Log   zerolog.Logger

	changes  chan specifier.Member
	roster   roster
	revision specifier.Revision
	sent     time.Time // when the earliest unanswered heartbeat was sent; zero for none
}

// New returns a registrant whose fields are still to be set.
func New() *Registrant { return &Registrant{changes: make(chan specifier.Member, 1)} }

// Announce replaces the announced fields of the member except its identity. A later call replaces one that has not been sent.
func (r *Registrant) Announce(member specifier.Member) {
	select {
	case <-r.changes:
	default:
	}
	r.changes <- member
}

// Run keeps the member registered until ctx ends.
func (r *Registrant) Run(ctx context.Context) error {
	if len(r.Controllers) == 0 {
		return errors.New("registrant: Controllers: is empty, expected at least one address")
	}
	next := 0
	addr := r.Controllers[0]
	for ctx.Err() == nil {
		leader, err := r.session(ctx, addr)
		if leader.IsValid() {
			addr = leader
		} else {
			next = (next + 1) % len(r.Controllers)
			addr = r.Controllers[next]
		}
		if err != nil && ctx.Err() == nil {
			r.Log.Debug().Err(err).Str("Peer", addr.String()).Msg("registration session ended")
		}
		looper.Pause(ctx, time.Duration(rand.Int64N(int64(maxRedialDelay))))
	}
	return context.Cause(ctx)
}

// RunUntil keeps the member registered until leave is closed, and then returns nil, or until ctx ends.
func (r *Registrant) RunUntil(ctx context.Context, leave <-chan struct{}) error {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	group, _ := supervisor.WithContext(ctx)
	group.Go(func() error {
		select {
		case <-leave:
			cancel()
		case <-running.Done():
		}
		return nil
	})
	err := r.Run(running)
	cancel()
	_ = group.Wait()
	if ctx.Err() == nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// session registers the member at one controller. It returns the leader that the controller names, if any.
func (r *Registrant) session(ctx context.Context, addr netip.AddrPort) (leader netip.AddrPort, err error) {
	conn, err := r.Pool.Conn(addr)
	if err != nil {
		return leader, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := encoder.NewRegistryClient(conn).Attend(ctx)
	if err != nil {
		return leader, errors.Wrap(err, "registrant: open the stream")
	}
	updates := make(chan specifier.Update)
	group, groupCtx := supervisor.WithContext(ctx)
	group.Go(func() error {
		for {
			message, err := stream.Recv()
			if err != nil {
				return errors.Wrap(err, "registrant: receive")
			}
			update, err := encoder.DecodeUpdate(message)
			if err != nil {
				return errors.Wrap(err, "registrant: update")
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
		leader, err = r.exchange(groupCtx, stream, updates)
		return err
	})
	return leader, group.Wait()
}

// exchange sends heartbeats and handles updates until the session ends.
func (r *Registrant) exchange(ctx context.Context, stream encoder.Registry_AttendClient, updates <-chan specifier.Update) (netip.AddrPort, error) {
	var none netip.AddrPort
	r.sent = time.Time{}
	if err := r.send(stream, true); err != nil {
		return none, err
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return none, context.Cause(ctx)
		case member := <-r.changes:
			member.Identity = r.Member.Identity
			r.Member = member
			if err := r.send(stream, true); err != nil {
				return none, err
			}
			timer.Reset(answerTimeout)
		case <-timer.C:
			if !r.sent.IsZero() {
				return none, errors.New("registrant: the controller did not answer in time")
			}
			if err := r.send(stream, false); err != nil {
				return none, err
			}
			timer.Reset(answerTimeout)
		case update := <-updates:
			if update.NotLeader {
				return update.Leader, errors.New("registrant: the controller does not lead")
			}
			if update.Expelled {
				r.Member.Incarnation = specifier.Incarnation(rand.Uint64())
				return none, errors.New("registrant: this incarnation is recorded as Down")
			}
			if err := r.handle(ctx, update, timer); err != nil {
				return none, err
			}
		}
	}
}

func (r *Registrant) handle(ctx context.Context, update specifier.Update, timer *time.Timer) error {
	notification := Notification{Self: r.Member.Identity, Members: r.roster.merge(update), MemberVersion: r.roster.version}
	if update.Configuration != nil && update.Configuration.Revision > r.revision {
		r.revision = update.Configuration.Revision
		notification.Configuration = update.Configuration
	}
	if update.Lease > 0 && !r.sent.IsZero() {
		notification.LeaseEnd = r.sent.Add(update.Lease)
		notification.Shares = update.Shares
		r.sent = time.Time{}
		timer.Reset(update.Lease / 3)
	}
	return r.Notify(ctx, notification)
}

func (r *Registrant) send(stream encoder.Registry_AttendClient, withMember bool) error {
	heartbeat := specifier.Heartbeat{Revision: r.revision}
	if withMember {
		member := r.Member
		heartbeat.Member = &member
	}
	if r.Needs != nil {
		heartbeat.Needs = r.Needs()
	}
	if r.Load != nil {
		heartbeat.Load = r.Load()
	}
	// While an answer is outstanding, the time of the earlier heartbeat is kept, so that a lease is never
	// counted from a later heartbeat than the one that it answers.
	if r.sent.IsZero() {
		r.sent = time.Now()
	}
	return errors.Wrap(stream.Send(encoder.EncodeHeartbeat(heartbeat)), "registrant: send")
}
