package registrant

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// Guards against an isolated process that is reported as ready, and a margin that is not the one left.
func TestLease(t *testing.T) {
	nine := time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)
	lease := NewLease()
	lease.Clock = func() time.Time { return nine }
	left, lapsed := make(chan time.Duration, 1), make(chan struct{}, 1)
	lease.Renewed = func(margin time.Duration) { left <- margin }
	lease.Expired = func() { lapsed <- struct{}{} }
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return lease.Run(ctx) })
	renew := func(until time.Time, margin time.Duration) {
		t.Helper()
		must.NoError(t, lease.Renew(ctx, until))
		must.Eq(t, margin, <-left)
	}
	renew(nine.Add(time.Hour), 0)
	renew(nine.Add(2*time.Hour), time.Hour)
	renew(nine.Add(-time.Second), 2*time.Hour)
	<-lapsed
	renew(nine.Add(time.Hour), -time.Second)
	cancel()
	must.ErrorIs(t, group.Wait(), context.Canceled)
	must.ErrorIs(t, lease.Renew(ctx, nine), context.Canceled)
}
