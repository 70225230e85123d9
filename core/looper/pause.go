package looper

import (
	"context"
	"time"
)

// Pause waits for span, or until ctx ends.
func Pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
