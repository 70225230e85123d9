package leaserunner

import (
	"context"

	"oleandertally/agent/leaseholder"
)

// Worker carries calls to the worker beside the agent. A call returns when it is answered or when ctx ends, and tells
// in its Answer when there was none.
type Worker interface {
	Start(ctx context.Context, start leaseholder.Start) leaseholder.Started
	Stop(ctx context.Context, stop leaseholder.Stop) leaseholder.Stopped
	Poll(ctx context.Context, hold leaseholder.Poll) leaseholder.PollResult
}
