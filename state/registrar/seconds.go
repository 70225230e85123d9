package registrar

import "time"

// seconds is a time on the log's clock, which starts at 0, in a third of the space of time.Time.
type seconds uint32

// keepMargin covers what agents count longer than the registrar: they start to count a
// retention when a message arrives, and clocks of hosts run apart by a fraction of a second in
// an hour. A key must be forgotten by agents before its epochs begin again at 1.
const keepMargin = 2 * time.Second

// keepUntil rounds up, so that nothing is forgotten early.
func keepUntil(at time.Time) seconds {
	return seconds(at.Add(keepMargin + time.Second - 1).Unix())
}

// reached reports whether now is at s or later.
func (s seconds) reached(now time.Time) bool { return now.Unix() >= int64(s) }
