package server

import (
	"context"
	"time"
)

// electionRounds is the number of rounds of an operator's client that outlast an election.
const electionRounds = 20

// pause waits, or returns the context's error.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
