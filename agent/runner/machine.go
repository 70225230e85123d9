package runner

import (
	"oleandertally/agent/executor"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

// machine is the executor, or what wraps it.
type machine interface {
	looper.Machine[executor.Event, executor.Action]
	Load() specifier.Load
}
