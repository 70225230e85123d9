package runner

import (
	"time"

	"oleandertally/core/exporter"
)

// measuredJob is the state that a meter keeps for a job until the job is answered.
type measuredJob struct {
	profile  string
	deadline time.Time
	tasks    int
	class    exporter.Class // class at the time of acceptance
	proposed time.Time      // when the job was proposed; zero once decided
	accepted time.Time
	waiting  int                  // number of tasks that wait at this entry
	sent     map[string]time.Time // when each task was last sent, or refused by an agent
	longest  time.Duration
	total    time.Duration // sum of the run times of all tasks
}
