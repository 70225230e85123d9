package tracer

import "time"

// Fault is one injected fault.
type Fault struct {
	Kind        string // BlackHole, Straggler, ZoneLost, Drain
	AtMillis    int
	UntilMillis int     // 0: to the end
	Worker      int     // for BlackHole and Straggler, from 0
	Zone        int     // for ZoneLost and Drain, from 0
	Factor      float64 // run times are multiplied by it, for Straggler
}

// The kinds of faults.
const (
	BlackHole = "BlackHole" // fails every task at once
	Straggler = "Straggler" // runs tasks slower
	ZoneLost  = "ZoneLost"  // the agents of a zone stop without notice
	Drain     = "Drain"     // the agents of a zone are drained
)

// At returns when the fault begins.
func (f Fault) At() time.Duration { return millis(f.AtMillis) }

// Covers reports whether the fault is in force at a time after the start of the trace.
func (f Fault) Covers(at time.Duration) bool {
	return at >= f.At() && (f.UntilMillis == 0 || at < millis(f.UntilMillis))
}
