package looper

import "time"

// Machine is the pure decision code of a process: no clock, no input or output, no goroutine.
type Machine[E, A any] interface {
	// Step handles one event at time now and returns the actions to perform, in order.
	Step(now time.Time, event E) []A
	// Expire handles every deadline that is due at now.
	Expire(now time.Time) []A
	// Next returns the earliest deadline, or the zero time when there is none.
	Next() time.Time
}
