package specifier

// RunEnd describes how a run of a task ended.
type RunEnd struct {
	Number     uint64 // number of the end in the worker's incarnation, from 1; 0 when the worker did not list the end
	Key        RunKey
	Kind       EndKind
	Checkpoint string
}
