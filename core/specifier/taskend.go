package specifier

// TaskEnd is the end of a run that changes the record of a job: EndDone or EndFailed.
type TaskEnd struct {
	Job   string
	Step  int
	Index int
	Run   uint64 // number of the run that ended
	Kind  EndKind
}
