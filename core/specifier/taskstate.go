package specifier

// TaskState is what an agent knows of a task that it holds.
type TaskState string

// The states of a task at an agent. A task that was refused or withdrawn is not held.
const (
	TaskQueued  TaskState = "Queued"  // held, not started
	TaskRunning TaskState = "Running" // the upstream was called
	TaskEnded   TaskState = "Ended"   // the upstream returned a result
	TaskBroken  TaskState = "Broken"  // the upstream reported a failure, or the call broke
)
