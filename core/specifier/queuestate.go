package specifier

// QueueState is the progress of a queued job.
type QueueState uint8

// The states of a queued job.
const (
	JobQueued QueueState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Ended reports whether the state is final.
func (s QueueState) Ended() bool { return s >= JobCompleted }
