package loadplayer

import "time"

// Fault happens to a share of the workers for a while.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	For    time.Duration
	Share  float64 // share of the workers, chosen by the seed
	Factor float64 // with Slow
}
