package player

// Outcome is the result of a job in a replay.
type Outcome uint8

// The outcomes.
const (
	Pending   Outcome = iota
	Completed         // every task ran
	Refused           // not admitted; no task ran
	TimedOut          // the deadline passed
	Failed            // a task failed or was lost
	Cancelled         // the caller cancelled
)
