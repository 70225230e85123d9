package verifier

import (
	"time"

	"oleandertally/core/specifier"
)

// Facts is the information that Check needs beyond the events. A nil function means the strictest check.
type Facts struct {
	// Repeatable reports whether a lost task of the job may start again. Nil: no task may.
	Repeatable func(specifier.JobID) bool
	// Tasks returns how many tasks the job has, or 0 when unknown. Nil: unknown; then only the
	// tasks that some event names are known.
	Tasks func(specifier.JobID) int
	// DrainGracePeriod is how long after MemberDraining a task may still start.
	DrainGracePeriod time.Duration
}

func (f Facts) repeatable(job specifier.JobID) bool { return f.Repeatable != nil && f.Repeatable(job) }

func (f Facts) tasks(job specifier.JobID) int {
	if f.Tasks == nil {
		return 0
	}
	return f.Tasks(job)
}
