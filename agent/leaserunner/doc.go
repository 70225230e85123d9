// Package leaserunner runs the agent beside a worker of queued jobs. It connects leaseholder, which makes the decisions, to
// the leading controller and the worker.
package leaserunner
