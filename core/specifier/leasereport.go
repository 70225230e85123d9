package specifier

// LeaseReport is a message from an agent to the leading controller. Fields that did not change are zero.
type LeaseReport struct {
	Agent         string
	Incarnation   Incarnation // incarnation of the agent's process
	Renewal       uint64      // number of the request for a grant; 0 for none
	LastOrder     uint64      // OrderCount of the last order that the report covers
	AllRunsKnown  bool        // no unlisted run exists at the worker, and no start with an earlier token can still happen
	Token         uint64      // highest fencing token that the agent has received
	Leaving       bool        // the agent is stopping
	Worker        *LeasedWorker
	RunsComplete  bool // Runs is the complete list
	Runs          []LeasedRun
	Ends          []RunEnd
	RefusedStarts []RunEnd // starts that did not happen
}
