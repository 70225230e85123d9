package registrar

import (
	"bytes"

	"oleandertally/core/specifier"
)

// expiry is an entry of the heap of submissions by the time until which they are kept.
type expiry struct {
	keep seconds
	job  specifier.JobID
}

// less breaks ties by job, so that every replica forgets in the same order.
func (e expiry) less(other expiry) bool {
	if e.keep != other.keep {
		return e.keep < other.keep
	}
	return bytes.Compare(e.job[:], other.job[:]) < 0
}
