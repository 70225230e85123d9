package loadplayer

import "time"

// moment is something that happens at a time. Moments of the same time happen in the order in which they were planned.
type moment struct {
	at     time.Time
	number int
	happen func()
}

func sooner(a, b moment) bool {
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.number < b.number
}
