package registrar

import (
	"time"

	"oleandertally/core/container"
	"oleandertally/core/specifier"
)

// Registrar applies committed batches. It is used by one goroutine.
type Registrar struct {
	// MaxSubmissions bounds the remembered submissions; more are refused, none is forgotten
	// early. Decisions depend on it, so every batch that sets it changes it on all controllers.
	MaxSubmissions int

	now           time.Time // the log's clock, from time.Unix(0, 0)
	index         uint64
	submissions   map[specifier.JobID]submission
	owners        container.Interner[specifier.Identity]
	answers       container.Interner[answer]
	expiring      container.Heap[expiry]
	members       map[string]specifier.Member
	memberVersion uint64
	departed      departures
	draining      map[string]bool // by an operator, outlives restarts of the member
	configuration specifier.Configuration
	requests      requests
	changed       string // operator of the newest change
}

// New returns the empty state.
func New(maxSubmissions int) *Registrar {
	return &Registrar{
		MaxSubmissions: maxSubmissions,
		now:            time.Unix(0, 0),
		submissions:    make(map[specifier.JobID]submission),
		expiring:       container.Heap[expiry]{Less: expiry.less},
		members:        make(map[string]specifier.Member),
		draining:       make(map[string]bool),
		requests:       requests{byID: make(map[string]request)},
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
	if batch.MaxSubmissions > 0 {
		r.MaxSubmissions = batch.MaxSubmissions
	}
	r.forget()
	r.forgetMembers()
	r.requests.forget(r.now)
	decisions := make([]specifier.Decision, len(batch.Commands))
	for i, command := range batch.Commands {
		decisions[i] = r.apply(command)
		if _, ok := command.(specifier.ChangeConfiguration); !ok {
			decisions[i].Revision = r.configuration.Revision
			decisions[i].MemberVersion = r.memberVersion
		}
	}
	return decisions
}

// Index returns the index of the last batch applied.
func (r *Registrar) Index() uint64 { return r.index }

// Submissions returns how many submissions are remembered.
func (r *Registrar) SubmissionCount() int { return len(r.submissions) }

// Configuration returns the configuration in force. It must not be changed; a later change
// replaces its maps and leaves them as they are.
func (r *Registrar) Configuration() specifier.Configuration { return r.configuration }

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
	case specifier.RefuseJob:
		return r.refuse(command)
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
