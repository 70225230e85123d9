package runner

import (
	"time"

	"oleandertally/core/exporter"
)

// measured is what a meter remembers of a job that is not answered.
type measured struct {
	profile  string
	deadline time.Time
	tasks    int
	class    exporter.Class // when it was accepted
	proposed time.Time      // zero once decided
	accepted time.Time
	waiting  int                  // tasks at this entry
	sent     map[string]time.Time // when each task was last sent or returned
	longest  time.Duration
	total    time.Duration // run time of all tasks
}
