package reporter

// Cause says why an agent refused a task.
type Cause string

// The causes of refusals by an agent.
const (
	Held        Cause = "Held"        // it holds the task already
	LowEpoch    Cause = "LowEpoch"    // a fence forbids the epoch
	OtherRun    Cause = "OtherRun"    // the message was for another incarnation
	QueueFull   Cause = "QueueFull"   // no place in the queue
	LeaseOver   Cause = "LeaseOver"   // the agent's lease has ended
	Leaving     Cause = "Leaving"     // the upstream or the agent drains
	NoUpstream  Cause = "NoUpstream"  // no upstream is announced, or it refused the connection
	PastDue     Cause = "PastDue"     // the deadline passed in the queue
	Withdrawn   Cause = "Withdrawn"   // the entry took the task back
	WrongLimits Cause = "WrongLimits" // the message breaks a stated limit
)

var causes = []Cause{Held, LowEpoch, OtherRun, QueueFull, LeaseOver, Leaving, NoUpstream, PastDue, Withdrawn, WrongLimits}
