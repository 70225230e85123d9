package operator

import (
	"context"

	"oleandertally/core/specifier"
)

// Propose proposes command and waits for its decision. An error means that the decision is unknown: the command may have
// been applied.
type Propose func(ctx context.Context, command specifier.Command) (specifier.Decision, error)
