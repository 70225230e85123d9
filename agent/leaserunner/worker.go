package leaserunner

import (
	"context"

	"oleandertally/agent/leaseholder"
)

// Worker makes calls to the worker beside the agent. A call returns when it is answered or when ctx ends; Answer.Lost is set
// if there was no answer.
type Worker interface {
	Start(ctx context.Context, start leaseholder.Start) leaseholder.Started
	Stop(ctx context.Context, stop leaseholder.Stop) leaseholder.Stopped
	Poll(ctx context.Context, poll leaseholder.Poll) leaseholder.PollResult
	Identify(ctx context.Context, identify leaseholder.Identify) leaseholder.Identified
}
