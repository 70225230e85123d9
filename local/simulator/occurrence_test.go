package simulator

import "time"

// occurrence is something that happens at a time.
type occurrence struct {
	at       time.Time
	sequence int
	do       func()
}

func sooner(a, b occurrence) bool {
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.sequence < b.sequence
}
