package leaseholder

import (
	"time"

	"oleandertally/core/specifier"
)

// trackedRun is a run that a controller ordered or that the worker listed.
type trackedRun struct {
	specifier.LeasedRun
	state       runState
	leaseEnd    time.Duration // end of the lease in the start, on the worker's clock
	confirmedAt time.Time     // when an answer of the worker confirmed the run
	stopping    bool
	stopRetryAt time.Time // when to repeat the stop; zero while a stop is under way
	stoppedAt   time.Time // when the last stop was answered
}
