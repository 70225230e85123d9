package operator

// QueueZone is an availability zone as the queues use it.
type QueueZone struct {
	Name      string
	Workers   int  // known to the leader
	Evacuated bool // no task is started there
}
