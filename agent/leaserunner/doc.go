// Package leaserunner runs an agent of the queues: it connects leaseholder, which makes the decisions, to the leading controller
// and the worker.
package leaserunner
