package coordinator

import "oleandertally/core/specifier"

// Submitted is a caller's valid and authorized submission.
type Submitted struct {
	Waiter Waiter
	Job    specifier.Job
}

func (Submitted) event() {}
