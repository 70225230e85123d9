package specifier

import "time"

// LeaseOrder is what the leading controller tells an agent.
type LeaseOrder struct {
	Token                   uint64 // fencing token of the leading controller for this agent
	GrantedRenewal          uint64 // the renewal that is granted
	OrderCount              uint64 // how many orders with starts or stops were sent, this one included
	Starts                  []RunStart
	Stops                   []RunKey
	AcknowledgedEnd         uint64 // ends up to this number need not be reported again
	AcknowledgedWorkerStart time.Time
}
