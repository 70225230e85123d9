package scheduler

import (
	"time"

	"oleandertally/core/specifier"
)

// Refusal is the reason why a job is not admitted.
type Refusal struct {
	Reason     specifier.Reason
	Detail     string
	RetryAfter time.Duration // zero if a retry cannot succeed
}
