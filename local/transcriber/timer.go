package transcriber

import "time"

// timer is a function that runs at a simulated time. The sequence number orders timers of equal time.
type timer struct {
	at       time.Time
	sequence uint64
	run      func()
}

func (t timer) before(other timer) bool {
	if t.at.Equal(other.at) {
		return t.sequence < other.sequence
	}
	return t.at.Before(other.at)
}
