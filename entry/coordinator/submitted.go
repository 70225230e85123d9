package coordinator

import "oleandertally/core/specifier"

// Submitted is a caller's checked request.
type Submitted struct {
	Waiter Waiter
	Job    specifier.Job
}

func (Submitted) event() {}
