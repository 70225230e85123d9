package server

import (
	"context"
	"time"

	"oleandertally/core/looper"
)

// fullInterval is the time between two attempts to write to a full disk.
const fullInterval = 100 * time.Millisecond

// roomWaiter waits between the attempts to write to a full disk. A controller with a full disk is like one whose disk stalls: it acknowledges
// nothing, and the others go on without it.
type roomWaiter struct {
	report   diskReport
	loggedAt time.Time // when the full disk was last logged
}

// fullLogInterval is the least time between two log lines about a full disk.
const fullLogInterval = 5 * time.Second

// wait returns nil after fullInterval, or the cause of ctx once it has ended.
func (r *roomWaiter) wait(ctx context.Context, cause error) error {
	r.report.metrics.Disk.Rejected()
	if time.Since(r.loggedAt) >= fullLogInterval {
		r.loggedAt = time.Now()
		r.report.full(cause)
	}
	looper.Pause(ctx, fullInterval)
	return context.Cause(ctx)
}
