package simulator

import "time"

// timer is a function that runs at a simulated time. The sequence number orders timers of equal time.
type timer struct {
	at       time.Time
	sequence int
	run      func()
}

func earlier(a, b timer) bool {
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.sequence < b.sequence
}
