package supervisor

import "time"

// fault is what a FaultLimiter remembers of one key.
type fault struct {
	until   time.Time
	dropped int
}
