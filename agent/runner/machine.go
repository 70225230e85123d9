package runner

import (
	"oleandertally/agent/executor"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

// machine is the executor or a wrapper of it.
type machine interface {
	looper.Machine[executor.Event, executor.Action]
	Load() specifier.Load
}
