package leaseholder

import (
	"time"

	"oleandertally/core/specifier"
)

// Start tells the worker to start a run.
type Start struct {
	Start    specifier.RunStart
	Token    uint64
	LeaseEnd time.Duration // end of the lease, on the worker's clock
	WorkerID string
}
