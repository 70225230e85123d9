package supervisor

import "time"

// fault is the state of a FaultLimiter for one key.
type fault struct {
	suppressedUntil time.Time // later reports are logged again
	dropped         int       // reports suppressed since the last logged one
}
