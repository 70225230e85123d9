package limiter

import "time"

// Lease is the slots of each team that one entry may count on until a time on the clock of the process that
// holds it.
type Lease struct {
	Until time.Time
	Slots map[string]float64 // by team
	// Contended means that all entries together need more slots than there are.
	Contended bool
}

// Total returns the slots of all teams.
func (l Lease) Total() float64 {
	total := 0.0
	for _, slots := range l.Slots {
		total += slots
	}
	return total
}
