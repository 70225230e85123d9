package leaseholder

import "time"

// Poll asks the worker what it runs, and extends the leases of it.
type Poll struct {
	Token  uint64
	LeaseEnd  time.Duration // on the worker's clock; 0 extends nothing
	Acknowledged   uint64        // ends up to this number need not be listed again
	Wait   time.Duration // for an end; 0 for none
	Immediate   bool          // beside the usual holds
	WorkerID string
}
