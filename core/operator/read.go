package operator

import (
	"context"

	"oleandertally/core/specifier"
)

// Read returns the state with the configuration at revision, or with the one in force when revision is 0. It returns a
// *NotLeaderError on a controller that is not the leader, and ErrRevisionUnavailable for a revision that is unknown or no
// longer stored.
type Read func(ctx context.Context, revision specifier.Revision) (State, error)
