package coordinator

import (
	"time"

	"oleandertally/core/specifier"
)

// timer is a time at which a job's deadlines are checked. A timer that no longer matches the job's state has no effect.
type timer struct {
	at  time.Time
	job specifier.JobID
}

func (t timer) less(other timer) bool {
	if !t.at.Equal(other.at) {
		return t.at.Before(other.at)
	}
	return string(t.job[:]) < string(other.job[:])
}
