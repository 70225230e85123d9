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
	QueueExpired     // the job was abandoned, its queue was removed, or an earlier controller may have handled the call; parts of it may have run
)

// DeniesEffect reports whether the result states that the call had no effect. Only the first controller that handles a call can know this.
func (r QueueResult) DeniesEffect() bool {
	return r == QueueRefused || r == QueueNotFound || r == QueueInvalid
}
