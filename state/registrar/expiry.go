package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

// expiry is an entry of the heap of submissions by the time until which they are kept.
type expiry struct {
	keep time.Time
	job  specifier.JobID
}

// less breaks ties by job, so that every replica forgets in the same order.
func (e expiry) less(other expiry) bool {
	if !e.keep.Equal(other.keep) {
		return e.keep.Before(other.keep)
	}
	return string(e.job[:]) < string(other.job[:])
}
