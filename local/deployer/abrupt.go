package deployer

import (
	"context"

	"oleandertally/core/supervisor"
)

// abrupt is a role that the site ends without steps.
type abrupt struct {
	run func(ctx context.Context) error
}

// Run runs the role.
func (a abrupt) Run(ctx context.Context) error { return a.run(ctx) }

// Steps returns none.
func (a abrupt) Steps() []supervisor.Step { return nil }
