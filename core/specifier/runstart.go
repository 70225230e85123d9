package specifier

// RunStart tells an agent to start a run.
type RunStart struct {
	Key        RunKey
	Content    string
	Checkpoint string // to resume from; empty for none
	Resources  Resources
}
