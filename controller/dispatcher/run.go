package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/estimator"
	"oleandertally/dispatch/sharer"
)

// run is a run that this leader ordered an agent to start, or that an agent listed.
type run struct {
	key       specifier.RunKey
	agent     *agent
	resources specifier.Resources
	task      *task                   // nil while no job claims it
	kind      *sharer.Kind[readyTask] // kind whose part of the capacity it uses; nil if it is not counted
	order     uint64                  // count of the order that started it; 0 when the agent listed it or has reconnected since
	startedAt time.Time
	cost      float64 // factor of the run time because the data is elsewhere; 1 for none
	cold      bool    // the worker was cold at the start
	// expectedEnd is by the worker's pace; zero for a run that this leader did not start.
	expectedEnd time.Time
	overdueAt   time.Time // from then on it takes longer than expected; zero once that is learned
	checkAt     time.Time // when it has been unclaimed for too long or is considered stalled
	stopping    bool
	stopOrder   uint64 // count of the last order to stop it; 0 when the agent has reconnected since
}

// count counts the run's cores as used by a kind, instead of the one before; nil for none.
func (r *run) count(kind *sharer.Kind[readyTask]) {
	cores := float64(r.resources.MilliCores) / 1000
	if r.kind != nil {
		r.kind.InUse = max(r.kind.InUse-cores, 0)
	}
	if r.kind = kind; kind != nil {
		kind.InUse += cores
	}
}

// sample returns what the run of a task tells about its worker and its queue.
func (r *run) sample(t *task, now time.Time) estimator.Sample[string, string] {
	return estimator.Sample[string, string]{Worker: r.agent.name, Queue: t.job.Queue, Declared: t.job.declared(t.stepNumber), Took: now.Sub(r.startedAt),
		Factor: r.cost, Cold: r.cold}
}
