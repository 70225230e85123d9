package specifier

// RunStart tells an agent to start a run.
type RunStart struct {
	Key        RunKey
	Content    string
	Checkpoint string // checkpoint to resume from; empty to start anew
	Resources  Resources
}
