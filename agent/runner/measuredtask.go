package runner

import (
	"time"

	"oleandertally/core/exporter"
)

// measuredTask is a meter's record of a task that is queued or running.
type measuredTask struct {
	profile string
	class   exporter.Class // estimated when the task was queued
	queued  time.Time
	started time.Time
}

// isQueued reports whether the task is queued.
func (m measuredTask) isQueued() bool { return !m.queued.IsZero() && m.started.IsZero() }
