package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
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
	checkAt   time.Time // when it has been unclaimed for too long or is considered stalled
	stopping  bool
	stopOrder uint64 // count of the last order to stop it; 0 when the agent has reconnected since
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
