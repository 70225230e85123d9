package registrar

import (
	"time"

	"oleandertally/core/container"
	"oleandertally/core/specifier"
)

// Registrar applies committed batches to the state. It is not safe for concurrent use.
type Registrar struct {
	// MaxSubmissions is the maximum number of stored submissions. At the limit new ones are refused
	// and none expires early. Decisions depend on the limit, so it is changed by a batch, which sets
	// it on all controllers.
	MaxSubmissions int

	now           time.Time // clock of the log, which starts at time.Unix(0, 0) and is advanced by batches
	index         uint64    // log index of the last batch
	submissions   map[specifier.JobID]submission
	owners        container.Interner[specifier.Identity]
	answers       container.Interner[answer]
	expiring      container.Heap[expiry]
	members       map[string]specifier.Member
	memberVersion uint64
	departed      departures
	draining      map[string]bool // names that an operator drains; kept across restarts of the member
	configuration specifier.Configuration
	requests      requests
	lastOperator  string // operator of the latest configuration change
}

// New returns a Registrar with an empty state.
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

// Apply applies the batch at the log index and returns one decision for each command.
func (r *Registrar) Apply(index uint64, batch Batch) []specifier.Decision {
	r.index = index
	r.now = r.now.Add(max(batch.Advance, 0))
	if batch.MaxSubmissions > 0 {
		r.MaxSubmissions = batch.MaxSubmissions
	}
	r.expireSubmissions()
	r.expireMembers()
	r.requests.expire(r.now)
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

// Index returns the log index of the last applied batch.
func (r *Registrar) Index() uint64 { return r.index }

// SubmissionCount returns the number of stored submissions.
func (r *Registrar) SubmissionCount() int { return len(r.submissions) }

// Configuration returns the current configuration, which must not be modified. A later change
// replaces the maps and does not modify the returned ones.
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
		return r.applyChange(command)
	}
	return specifier.Decision{Verdict: specifier.Rejected, Detail: "unknown command"}
}
