package server

import (
	"context"
	"time"

	"oleandertally/core/looper"
)

// electionRounds is the number of rounds of an operator's client that outlast an election.
const electionRounds = 20

// pause waits, or returns the context's error.
func pause(ctx context.Context, d time.Duration) error {
	looper.Pause(ctx, d)
	return ctx.Err()
}
