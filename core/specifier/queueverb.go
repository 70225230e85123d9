package specifier

// QueueVerb is what a QueueCall asks for.
type QueueVerb uint8

// The calls.
const (
	SubmitQueued QueueVerb = iota + 1
	QueryQueued            // state of a job, or the number of pending jobs of a queue
	CancelQueued
	PutManifest
	GetManifest
	AbandonQueued // the caller of a transient job has disconnected
	EvacuateZone  // start no task in an availability zone
	RestoreZone   // withdraw EvacuateZone
)
