package ejector

// Breaker decides, from the outcomes of tasks on a worker, when the worker is ejected.
type Breaker[B any] interface {
	*B
	// Record adds an outcome: weight is 0 for a success, and higher for a failure that is stronger evidence of a faulty
	// worker. Record reports whether the weights reach the threshold, so that the worker should be ejected.
	Record(weight, threshold int) bool
	// LastFailed reports whether the last outcome was a failure.
	LastFailed() bool
	// Reset discards all outcomes.
	Reset()
}
