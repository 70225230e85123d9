package ejector

// Breaker decides from a worker's outcomes when it is ejected.
type Breaker[B any] interface {
	*B
	// Record notes an outcome: weight is 0 for a success, more for a failure that says more. It reports
	// whether the worker should be ejected, given the weight at which it is.
	Record(weight, threshold int) bool
	// LastFailed reports whether the last outcome was a failure.
	LastFailed() bool
	// Reset forgets all outcomes.
	Reset()
}
