package admitter

import "time"

// Always is the baseline: it admits everything, and late work is dropped at its deadline.
type Always struct{}

// Admit returns true.
func (Always) Admit(Demand) (bool, time.Duration) { return true, 0 }
