package admitter

import "time"

// Always is the baseline policy: every job is admitted, and tasks that are late are dropped at their deadline.
type Always struct{}

// Admit returns true.
func (Always) Admit(Demand) (bool, time.Duration) { return true, 0 }
