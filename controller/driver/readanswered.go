package driver

import "oleandertally/core/operator"

// ReadAnswered answers Read.
type ReadAnswered struct {
	Ticket uint64
	State  operator.State
	Err    error // a *operator.NotLeaderError or operator.ErrRevisionUnavailable
}
