package scheduler

import (
	"time"

	"oleandertally/core/specifier"
)

// Refusal says why a job is not admitted.
type Refusal struct {
	Reason     specifier.Reason
	Detail     string
	RetryAfter time.Duration // zero when a retry does not help
}
