package specifier

// LeaseReport is what an agent tells the leading controller. Fields that did not change are zero.
type LeaseReport struct {
	Agent         string
	Incarnation   Incarnation // of the agent's process
	Renewal       uint64      // asks for a grant; 0 for none
	LastOrder     uint64      // number of the last order that the report covers
	AllRunsKnown  bool        // nothing that is not listed runs, and no start with an earlier token can still happen
	Token         uint64      // highest fencing token that the agent was told
	Leaving       bool        // the agent stops
	Worker        *LeasedWorker
	RunsComplete  bool // Runs is the whole list
	Runs          []LeasedRun
	Ends          []RunEnd
	RefusedStarts []RunEnd // starts that did not happen
}
