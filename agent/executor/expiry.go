package executor

import (
	"time"

	"oleandertally/core/specifier"
)

// expiry is the time at which the record of a job may be deleted.
type expiry struct {
	at  time.Time
	job specifier.JobID
}

func (e expiry) less(other expiry) bool {
	if !e.at.Equal(other.at) {
		return e.at.Before(other.at)
	}
	return string(e.job[:]) < string(other.job[:])
}
