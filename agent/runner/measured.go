package runner

import (
	"time"

	"oleandertally/core/exporter"
)

// measured is what a meter remembers of a task that is queued or running.
type measured struct {
	profile string
	class   exporter.Class // as learned when it was queued
	queued  time.Time
	started time.Time
}

// waits reports whether the task is queued.
func (m measured) waits() bool { return !m.queued.IsZero() && m.started.IsZero() }
