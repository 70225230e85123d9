package leaseholder

import "oleandertally/core/specifier"

// Stop tells the worker to stop a run.
type Stop struct {
	Key      specifier.RunKey
	Token    uint64
	WorkerID string
}
