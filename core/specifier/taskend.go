package specifier

// TaskEnd is an end that counts for a recorded job: EndDone or EndFailed.
type TaskEnd struct {
	Job   string
	Step  int
	Index int
	Run   uint64 // which run of the task ended
	Kind  EndKind
}
