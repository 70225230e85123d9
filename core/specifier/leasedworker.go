package specifier

import "time"

// LeasedWorker is one life of a worker that runs tasks under leases.
type LeasedWorker struct {
	ID        string
	StartedAt time.Time // start of the life, which tells two lives of one ID apart
	Pool      string
	Capacity  Resources
	Labels    []string
	Draining  bool
}
