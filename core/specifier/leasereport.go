package specifier

import "time"

// LeaseReport is a message from an agent to the leading controller. Fields that did not change are zero.
type LeaseReport struct {
	Agent        string
	Incarnation  Incarnation // incarnation of the agent's process
	Renewal      uint64      // number of the request for a grant; 0 for none
	LastOrder    uint64      // OrderCount of the last order that the report covers
	AllRunsKnown bool        // no unlisted run exists at the worker, and no start with an earlier token can still happen
	Token        uint64      // highest fencing token that the agent has received
	Leaving      bool        // the agent is stopping
	Worker       *LeasedWorker
	// WorkerStartedAt is the start of the worker incarnation whose runs and ends the report lists. Zero if the agent does not know it.
	WorkerStartedAt time.Time
	EndsCut         bool // the worker holds ends that it has not listed to this process of the agent yet
	RunsComplete    bool // Runs is the complete list
	Runs            []LeasedRun
	Ends            []RunEnd
	RefusedStarts   []RunEnd // starts that did not happen
	Zone            string   // availability zone of the agent's host
	// EvacuationVersion is the newest that the agent has applied while none of its starts was under way.
	EvacuationVersion uint64
}
