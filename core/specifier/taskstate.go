package specifier

// TaskState is the state of a task that an agent has a record of.
type TaskState string

// The states of a task at an agent. An agent keeps no record of a task that was refused or withdrawn.
const (
	TaskQueued  TaskState = "Queued"  // accepted, not started
	TaskRunning TaskState = "Running" // the upstream was called
	TaskEnded   TaskState = "Ended"   // the upstream returned a result
	TaskBroken  TaskState = "Broken"  // the upstream reported a failure, or the call was cut off
)
