package specifier

import "time"

// QueueCommand is one change of the replicated state of queues: one field beside Advance is set, or Announced and Announcing.
type QueueCommand struct {
	Advance  time.Duration // on the leader's clock since its previous command
	Manifest *Manifest
	Accept   *QueuedJob
	Cancel   string // ID of a job
	Ends     []TaskEnd
	Enroll   string // agent that may run tasks from now on
	Dismiss  string // agent whose lease has expired
	// Announced are the IDs of transient jobs that the leader may start from now on.
	Announced []string
	// Announcing says whether the leader announces the jobs that it may start; 0 changes nothing.
	Announcing Announcing
	Evacuate   string // availability zone in which no task may be started from now on
	Restore    string // availability zone that is no longer evacuated
}
