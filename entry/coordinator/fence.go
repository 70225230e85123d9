package coordinator

import (
	"time"

	"oleandertally/core/specifier"
)

// Fence asks an agent for its record of a job, and makes it refuse lower epochs.
type Fence struct {
	Agent    specifier.Identity
	Job      specifier.JobID
	Epoch    specifier.Epoch
	Deadline time.Time
	Mark     uint64 // number of the fence, returned in ReportReceived
}

func (Fence) action() {}
