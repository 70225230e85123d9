package leaseholder

import "time"

// Poll asks the worker what it runs, and extends the leases of these runs.
type Poll struct {
	Token        uint64
	LeaseEnd     time.Duration // new end of the leases, on the worker's clock; 0 extends none
	Acknowledged uint64        // highest end that the controller has recorded; only later ones are listed
	Wait         time.Duration // how long to wait for an end; 0 answers without waiting
	Immediate    bool          // an extra poll, besides the periodic ones
	WorkerID     string
}
