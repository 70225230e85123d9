package executor

import (
	"time"

	"oleandertally/core/specifier"
)

// Fenced asks for the agent's record of a job. An epoch above the known one makes the sender the job's owner: the
// agent then drops the job's queued tasks and refuses lower epochs.
type Fenced struct {
	Entry    specifier.Identity
	Stream   uint64
	Job      specifier.JobID
	Epoch    specifier.Epoch
	Deadline time.Time
	Mark     uint64 // returned in Report
}

func (Fenced) event() {}
