package dispatcher

import "oleandertally/core/specifier"

// pendingEnd is an end that a worker reported and that is not acknowledged yet. It may be acknowledged once it is recorded.
type pendingEnd struct {
	number   uint64
	key      specifier.RunKey // run whose end is being recorded
	recorded bool
}
