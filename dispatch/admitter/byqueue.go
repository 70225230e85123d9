package admitter

import "time"

// ByQueue is a baseline: it bounds the number of waiting tasks, whatever their deadlines.
type ByQueue struct {
	MaxQueued int // tasks
}

// Admit refuses a job that would exceed the bound.
func (b ByQueue) Admit(demand Demand) (bool, time.Duration) {
	return demand.Queued+demand.Tasks <= b.MaxQueued, time.Second
}
