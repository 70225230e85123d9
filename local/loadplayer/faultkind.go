package loadplayer

// FaultKind is what happens to a worker.
type FaultKind uint8

// The faults of workers.
const (
	Unreachable FaultKind = iota // the controllers and the agent can't reach each other; runs end with their leases
	Slow                         // runs take Factor times as long
	Failing                      // runs fail early
	Hanging                      // runs make no progress until the fault ends
)
