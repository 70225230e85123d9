// Package leaserunner runs an agent of the queues: it joins the decisions of leaseholder with the leading controller and the worker.
package leaserunner
