package sequencer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/container"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/limiter"
	"oleandertally/state/registrar"
)

const (
	// maxInFlight is how many batches may be in the log and not committed; commands that arrive
	// meanwhile share the next batch. The disk shares syncs among batches, so a low bound only
	// makes commands wait for a commit: with 4 the median acceptance took a third longer than with 64.
	maxInFlight = 64
	// maxWaiting bounds the commands that wait for a batch; more are refused as Full.
	maxWaiting = 100_000
	// maxChanges is how many changes of the membership are kept for updates; an entry that is
	// further behind gets the whole membership.
	maxChanges = 4096
)

// Sequencer is the control state of a controller beside its log. Exported fields are set before
// the first Step.
type Sequencer struct {
	Lease     time.Duration // duration of the leases of entries and agents
	Leading   func(now time.Time) bool
	Registrar *registrar.Registrar
	// Size returns the encoded size of a command, or an error for a command that can't be decoded again and
	// would therefore stop every replica if it were in the log.
	Size func(specifier.Command) (int, error)
	// MaxBatch and MaxBytes bound the number of commands in one batch and their encoded size.
	MaxBatch       int
	MaxBytes       int
	MaxSubmissions int // limit of remembered submissions, in force from the next batch

	leads           bool
	leader          netip.AddrPort
	ticket          Ticket
	waiting         []request
	submitted       map[Ticket][]request
	logged          map[uint64]loggedBatch
	clockAdvancedAt time.Time // time up to which batches advanced the replicated clock
	sessions        map[Stream]*session
	leases          map[specifier.Identity]time.Time
	expirations     container.Heap[lease]              // every grant, including those that were renewed since
	ending          map[specifier.Identity]bool        // members whose EndMember command waits for the log or is in it
	lessors         map[string]*limiter.Lessor[string] // by service
	changes         []change
	changesSince    uint64 // changes holds every change after this version of the membership
	actions         []Action
}

// New returns a sequencer that does not lead. Its exported fields are still to be set.
func New(state *registrar.Registrar) *Sequencer {
	return &Sequencer{
		Registrar:    state,
		submitted:    make(map[Ticket][]request),
		logged:       make(map[uint64]loggedBatch),
		sessions:     make(map[Stream]*session),
		leases:       make(map[specifier.Identity]time.Time),
		expirations:  container.Heap[lease]{Less: lease.less},
		ending:       make(map[specifier.Identity]bool),
		lessors:      make(map[string]*limiter.Lessor[string]),
		changesSince: state.MemberVersion(),
	}
}

// Step handles one event.
func (s *Sequencer) Step(now time.Time, event Event) []Action {
	s.actions = nil
	switch event := event.(type) {
	case Proposed:
		s.proposed(now, event)
	case HeartbeatReceived:
		s.heartbeatReceived(now, event)
	case StreamClosed:
		delete(s.sessions, event.Stream)
	case Logged:
		s.logged[event.Index] = loggedBatch{term: event.Term, requests: s.submitted[event.Ticket]}
		delete(s.submitted, event.Ticket)
	case Rejected:
		s.rejected(event)
	case Committed:
		s.committed(now, event)
	case BecameLeader:
		s.becomeLeader(now)
	case BecameFollower:
		s.becomeFollower(event)
	}
	s.submit(now)
	return s.actions
}

// Expire proposes the end of the members whose leases have ended.
func (s *Sequencer) Expire(now time.Time) []Action {
	s.actions = nil
	for _, id := range s.due(now) {
		s.enqueue(request{command: specifier.EndMember{Identity: id}})
	}
	s.submit(now)
	return s.actions
}

// Next returns when the next lease ends.
func (s *Sequencer) Next() time.Time {
	var next time.Time
	if !s.leads {
		return next
	}
	if first, ok := s.nextLease(); ok {
		next = first.until
	}
	return next
}

func (s *Sequencer) proposed(now time.Time, e Proposed) {
	decide := func(d specifier.Decision) {
		s.actions = append(s.actions, Decide{Stream: e.Stream, Sequence: e.Sequence, Decision: d})
	}
	switch {
	case !s.leads:
		decide(specifier.Decision{Verdict: specifier.NotLeader, Leader: s.leader})
	case len(s.waiting) >= maxWaiting:
		decide(specifier.Decision{Verdict: specifier.Full})
	default:
		if err := s.enqueue(request{stream: e.Stream, sequence: e.Sequence, command: e.Command}); err != nil {
			decide(specifier.Decision{Verdict: specifier.Rejected, Detail: err.Error()})
		}
	}
}

// enqueue adds a command to those that wait for a batch. It returns an error for one that can't be decoded or is too large.
func (s *Sequencer) enqueue(r request) error {
	size, err := s.Size(r.command)
	if err == nil && size > s.MaxBytes {
		err = errors.Newf("Command: has %d bytes, expected at most %d", size, s.MaxBytes)
	}
	if err != nil {
		return err
	}
	r.size = size
	s.waiting = append(s.waiting, r)
	return nil
}

// submit proposes the waiting commands in batches, until maxInFlight batches are in flight.
func (s *Sequencer) submit(now time.Time) {
	for s.leads && len(s.waiting) > 0 && len(s.submitted)+len(s.logged) < maxInFlight {
		size := s.batchSize()
		// When more than MaxAdvance has passed since the last batch, the next batches advance the clock by the rest.
		batch := specifier.Batch{Advance: min(max(now.Sub(s.clockAdvancedAt), 0), specifier.MaxAdvance), MaxSubmissions: s.MaxSubmissions}
		for _, request := range s.waiting[:size] {
			batch.Commands = append(batch.Commands, request.command)
		}
		s.clockAdvancedAt = s.clockAdvancedAt.Add(batch.Advance)
		s.ticket++
		s.submitted[s.ticket] = slices.Clone(s.waiting[:size])
		s.waiting = slices.Delete(s.waiting, 0, size)
		s.actions = append(s.actions, Submit{Ticket: s.ticket, Batch: batch})
	}
}

// batchSize returns how many of the waiting commands fit in one batch, at least one.
func (s *Sequencer) batchSize() int {
	size, total := 1, s.waiting[0].size
	for size < min(len(s.waiting), s.MaxBatch) && total+s.waiting[size].size <= s.MaxBytes {
		total += s.waiting[size].size
		size++
	}
	return size
}
