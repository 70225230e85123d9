package retrier

// Cause is the reason for a retry.
type Cause uint8

// The causes.
const (
	// NotStarted means that an agent has proved that it has not started the task and will not start it.
	NotStarted Cause = iota
	// Lost means that the worker is recorded as down, and the task may have run.
	Lost
)
