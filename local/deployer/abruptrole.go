package deployer

import (
	"context"

	"oleandertally/core/supervisor"
)

// abruptRole is a role without a graceful shutdown: the site terminates it immediately.
type abruptRole struct {
	runFunc func(ctx context.Context) error
}

// Run runs the role.
func (a abruptRole) Run(ctx context.Context) error { return a.runFunc(ctx) }

// Steps returns nil: there are no shutdown steps.
func (a abruptRole) Steps() []supervisor.Step { return nil }
