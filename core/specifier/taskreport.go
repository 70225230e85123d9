package specifier

// TaskReport is an agent's record of one task.
type TaskReport struct {
	Task   string
	State  TaskState
	Body   []byte // with TaskEnded
	Detail string // with TaskBroken
}
