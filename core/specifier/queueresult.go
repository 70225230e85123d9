package specifier

// QueueResult is the outcome of a QueueCall.
type QueueResult uint8

// The outcomes.
const (
	QueueOK       QueueResult = iota + 1
	QueueRefused              // the job was not accepted and never runs
	QueueNotFound             // there is no such queue
	JobNotFound               // there is no such job
	QueueInvalid
	QueueUnavailable // the controller cannot answer now
	QueueExpired     // the job was abandoned; parts of it may have run
)
