package admitter

import "time"

// ByQueue is a baseline policy that limits the number of waiting tasks and ignores deadlines.
type ByQueue struct {
	MaxQueued int
}

// Admit refuses a job whose tasks would raise the number of waiting tasks above MaxQueued.
func (b ByQueue) Admit(demand Demand) (bool, time.Duration) {
	return demand.Queued+demand.Tasks <= b.MaxQueued, time.Second
}
