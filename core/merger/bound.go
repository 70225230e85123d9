package merger

import "time"

// bound is an upper bound on a clock skew: the clock of process to is ahead of the clock of process from by at most
// maxAhead.
type bound struct {
	from     int
	to       int
	maxAhead time.Duration
}

func (b bound) reverse() bound { return bound{from: b.to, to: b.from, maxAhead: b.maxAhead} }
