package registrar

import (
	"bytes"

	"oleandertally/core/specifier"
)

// expiry is an entry of the heap that orders submissions by their expiry time.
type expiry struct {
	keepUntil seconds
	job       specifier.JobID
}

// less breaks ties by job ID, so that all replicas expire submissions in the same order.
func (e expiry) less(other expiry) bool {
	if e.keepUntil != other.keepUntil {
		return e.keepUntil < other.keepUntil
	}
	return bytes.Compare(e.job[:], other.job[:]) < 0
}
