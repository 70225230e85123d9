package simulator

// endContext is what the checks of a run's end need to know of the time of that end.
type endContext struct {
	expiries int // how often the worker's lease had expired
	starts   int // how often the task had been started
}
