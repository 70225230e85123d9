package limiter

import "time"

// Lease grants slots to one entry, by team, until a time. The time is on the clock of the process that has the Lease
// in memory.
type Lease struct {
	Until time.Time
	Slots map[string]float64 // by team
	// Contended means that all entries together need more slots than exist.
	Contended bool
}

// Total returns the sum of the slots of all teams.
func (l Lease) Total() float64 {
	total := 0.0
	for _, slots := range l.Slots {
		total += slots
	}
	return total
}
