package executor

// Cause says why an agent refused a task.
type Cause string

// The causes.
const (
	Withdraw   Cause = "Withdrawn"  // the entry asked for it
	Superseded Cause = "Superseded" // a higher epoch is known
	Late       Cause = "Late"       // the deadline passed
	NoUpstream Cause = "NoUpstream" // the upstream is absent
	NoLease    Cause = "NoLease"    // the agent's lease ended
	Drain      Cause = "Draining"   // the agent takes no new work
	Full       Cause = "Full"       // the queue or the record of results is full
)
