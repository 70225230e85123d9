package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
)

// run is a run that this leader ordered an agent to start, or that an agent listed.
type run struct {
	key       specifier.RunKey
	agent     *agent
	resources specifier.Resources
	task      *task  // nil while no job claims it
	order     uint64 // count of the order that started it; 0 when the agent listed it or has reconnected since
	startedAt time.Time
	checkAt   time.Time // when it has been unclaimed for too long or is considered stalled
	stopping  bool
}
