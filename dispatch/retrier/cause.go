package retrier

// Cause is why a task would be sent again.
type Cause uint8

// The causes.
const (
	// NotStarted: an agent proved that it has not started the task and will not.
	NotStarted Cause = iota
	// Lost: the worker is recorded as down, and the task may have run.
	Lost
)
