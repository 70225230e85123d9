package deployer

import (
	"context"

	"oleandertally/core/supervisor"
)

// role is an entry, agent, controller or upstream with the steps of its graceful shutdown.
type role interface {
	Run(ctx context.Context) error
	Steps() []supervisor.Step
}
