package registrar

import (
	"time"

	"oleandertally/core/collector"
	"oleandertally/core/specifier"
)

// Registrar applies committed batches. It is used by one goroutine.
type Registrar struct {
	// MaxSubmissions bounds the remembered submissions; more are refused, none is forgotten early.
	MaxSubmissions int

	now           time.Time // the log's clock
	index         uint64
	submissions   map[specifier.JobID]*submission
	expiring      collector.Heap[expiry]
	members       map[string]specifier.Member
	memberVersion uint64
	departed      []departure
	draining      map[string]bool // by an operator, outlives restarts of the member
	configuration specifier.Configuration
	requests      map[string]specifier.Decision
	changed       string // operator of the newest change
}

// New returns the empty state.
func New(maxSubmissions int) *Registrar {
	return &Registrar{
		MaxSubmissions: maxSubmissions,
		now:            time.Unix(0, 0),
		submissions:    make(map[specifier.JobID]*submission),
		expiring:       collector.Heap[expiry]{Less: expiry.less},
		members:        make(map[string]specifier.Member),
		draining:       make(map[string]bool),
		requests:       make(map[string]specifier.Decision),
		configuration: specifier.Configuration{
			Profiles: make(map[string]specifier.Profile),
			Teams:    make(map[string]specifier.Team),
		},
	}
}

// Apply applies the batch at index and returns one decision for each command.
func (r *Registrar) Apply(index uint64, batch Batch) []specifier.Decision {
	r.index = index
	r.now = r.now.Add(max(batch.Advance, 0))
	r.forget()
	decisions := make([]specifier.Decision, len(batch.Commands))
	for i, command := range batch.Commands {
		decisions[i] = r.apply(command)
		decisions[i].Revision = r.configuration.Revision
		decisions[i].MemberVersion = r.memberVersion
	}
	return decisions
}

func (r *Registrar) apply(command specifier.Command) specifier.Decision {
	switch command := command.(type) {
	case specifier.AcceptJob:
		return r.accept(command)
	case specifier.TakeOverJob:
		return r.takeOver(command)
	case specifier.FinishJob:
		return r.finish(command)
	case specifier.ReleaseJob:
		return r.release(command)
	case specifier.CancelJob:
		return r.cancel(command)
	case specifier.LookupJob:
		return r.lookup(command)
	case specifier.JoinMember:
		return r.join(command)
	case specifier.EndMember:
		return r.end(command)
	case specifier.DrainMember:
		return r.drain(command)
	case specifier.ChangeConfiguration:
		return r.change(command)
	}
	return specifier.Decision{Verdict: specifier.Rejected, Detail: "unknown command"}
}

func (r *Registrar) expire(id specifier.JobID, keep time.Time) {
	r.expiring.Push(expiry{keep: keep, job: id})
}

// forget drops the submissions whose time is over. An entry of the heap may be out of date:
// the submission's own time decides.
func (r *Registrar) forget() {
	for {
		next, ok := r.expiring.Peek()
		if !ok || next.keep.After(r.now) {
			return
		}
		r.expiring.Pop()
		if known := r.submissions[next.job]; known != nil && !known.keep.After(r.now) {
			delete(r.submissions, next.job)
		}
	}
}
