package specifier

import "time"

// LeasedWorker is one incarnation of a worker that runs tasks under leases.
type LeasedWorker struct {
	ID        string
	StartedAt time.Time // distinguishes the incarnations of one ID
	Pool      string
	Capacity  Resources
	Labels    []string
	Draining  bool
	ColdFor   time.Duration // time until the worker reaches its full speed, when the message was made
}
