package launcher

import (
	"context"

	"oleandertally/core/supervisor"
)

// Program is a role that a Launcher runs.
type Program interface {
	// Open opens the listeners. It is called before Run, so that a wrong address ends the process at
	// its start.
	Open() error
	// Run serves until ctx ends.
	Run(ctx context.Context) error
	// Steps returns the steps of a graceful shutdown, which run while Run is still serving.
	Steps() []supervisor.Step
}
