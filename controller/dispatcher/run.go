package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
)

// run is a run that an agent was told to start, or that it listed.
type run struct {
	key      specifier.RunKey
	holder   *holder
	room     specifier.Resources
	task     *task  // nil while no job claims it
	order    uint64 // that started it; 0 when the agent listed it
	began    time.Time
	lookAt   time.Time // when it has been unclaimed for too long, or stands still
	stopping bool
}
