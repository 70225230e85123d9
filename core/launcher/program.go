package launcher

import (
	"context"

	"oleandertally/core/supervisor"
)

// Program is a role that a Launcher runs.
type Program interface {
	// Open opens the listeners, so that a wrong address ends the process at its start.
	Open() error
	// Run serves until ctx ends.
	Run(ctx context.Context) error
	// Steps are those of a graceful shutdown, while Run goes on.
	Steps() []supervisor.Step
}
