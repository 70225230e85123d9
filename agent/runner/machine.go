package runner

import (
	"oleandertally/agent/executor"
	"oleandertally/core/mailer"
	"oleandertally/core/specifier"
)

// machine is the executor, or what wraps it.
type machine interface {
	mailer.Machine[executor.Event, executor.Action]
	Load() specifier.Load
}
