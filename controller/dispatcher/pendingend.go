package dispatcher

import "oleandertally/core/specifier"

// pendingEnd is an end that a worker listed. It may be noted once it is recorded.
type pendingEnd struct {
	number   uint64
	key      specifier.RunKey // whose end is being recorded
	recorded bool
}
