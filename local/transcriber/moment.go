package transcriber

import "time"

// moment is something that happens at a time; number keeps the order of those at one time.
type moment struct {
	at     time.Time
	number uint64
	do     func()
}

func (m moment) before(other moment) bool {
	if m.at.Equal(other.at) {
		return m.number < other.number
	}
	return m.at.Before(other.at)
}
