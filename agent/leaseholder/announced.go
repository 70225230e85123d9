package leaseholder

import "oleandertally/core/specifier"

// Announced is an announcement of the worker about itself. Sequence rises within one incarnation of the worker.
type Announced struct {
	Worker   specifier.LeasedWorker
	Sequence uint64
}
