package merger

import "time"

// bound says that the clock of process to is ahead of that of process from by at most ahead.
type bound struct {
	from  int
	to    int
	ahead time.Duration
}

func (b bound) reverse() bound { return bound{from: b.to, to: b.from, ahead: b.ahead} }
