package tracer

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Fault is one injected fault.
type Fault struct {
	Kind        string // BlackHole, Straggler, ZoneLost, Drain
	AtMillis    int
	UntilMillis int     // 0: to the end
	Worker      int     // for BlackHole and Straggler, from 0
	Zone        int     // for ZoneLost and Drain, from 0
	Factor      float64 // multiplies the run times, for Straggler
}

// The kinds of faults.
const (
	BlackHole = "BlackHole" // a worker fails every task immediately
	Straggler = "Straggler" // a worker runs tasks slower
	ZoneLost  = "ZoneLost"  // the agents of a zone terminate without notice
	Drain     = "Drain"     // the agents of a zone are drained
)

// At returns when the fault begins.
func (f Fault) At() time.Duration { return millis(f.AtMillis) }

// Covers reports whether the fault is active at a time after the start of the trace.
func (f Fault) Covers(at time.Duration) bool {
	return at >= f.At() && (f.UntilMillis == 0 || at < millis(f.UntilMillis))
}

// Workers and Zones are the numbers of workers and availability zones of the modelled service.
const (
	Workers = 11
	Zones   = 3
)

func (f Fault) check() error {
	switch f.Kind {
	case BlackHole, Straggler, ZoneLost, Drain:
	default:
		return errors.Newf("Kind: is %q, expected BlackHole, Straggler, ZoneLost or Drain", f.Kind)
	}
	switch {
	case f.Worker < 0 || f.Worker >= Workers:
		return errors.Newf("Worker: is %d, expected 0 to %d", f.Worker, Workers-1)
	case f.Zone < 0 || f.Zone >= Zones:
		return errors.Newf("Zone: is %d, expected 0 to %d", f.Zone, Zones-1)
	case f.AtMillis < 0 || f.AtMillis > maxMillis || f.UntilMillis < 0 || f.UntilMillis > maxMillis:
		return errors.Newf("AtMillis, UntilMillis: are %d and %d, expected 0 to %d", f.AtMillis, f.UntilMillis, maxMillis)
	case f.Factor < 0 || f.Factor > 1000:
		return errors.Newf("Factor: is %g, expected 0 to 1000", f.Factor)
	}
	return nil
}
