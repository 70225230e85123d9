package deployer

import (
	"context"

	"oleandertally/core/supervisor"
)

// role is what a process runs.
type role interface {
	Run(ctx context.Context) error
	Steps() []supervisor.Step
}
