package specifier

import "time"

// LeaseOrder is a message from the leading controller to an agent.
type LeaseOrder struct {
	Token                   uint64 // fencing token of the leading controller for this agent
	GrantedRenewal          uint64 // number of the renewal that is granted
	OrderCount              uint64 // number of orders with starts or stops sent so far, including this one
	Starts                  []RunStart
	Stops                   []RunKey
	AcknowledgedEnd         uint64        // ends up to this number need not be reported again
	AcknowledgedWorkerStart time.Time     // StartedAt of the worker incarnation whose ends are acknowledged
	RenewAfter              time.Duration // time between two renewals; 0 leaves it to the agent
	Evacuated               bool          // the agent's availability zone is evacuated: no task may be started
	EvacuationVersion       uint64        // version of the state that Evacuated describes
}
