package executor

// Cause is the reason why an agent refused a task.
type Cause string

// The causes.
const (
	Withdraw   Cause = "Withdrawn"  // the entry withdrew the job
	Superseded Cause = "Superseded" // a higher epoch is known
	Late       Cause = "Late"       // the deadline has passed
	NoUpstream Cause = "NoUpstream" // the upstream is absent
	NoLease    Cause = "NoLease"    // the agent's lease ended
	Drain      Cause = "Draining"   // the agent takes no new work
	Full       Cause = "Full"       // the queue or the storage for results is full
)
