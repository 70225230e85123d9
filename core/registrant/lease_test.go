package registrant

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// Guards against a partitioned process that stays ready because the end of its lease is not reported, and against a
// wrong margin: the time that was left of the lease at a renewal.
func TestLease(t *testing.T) {
	start := time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)
	lease := NewLease()
	lease.Clock = func() time.Time { return start }
	left, expired := make(chan time.Duration, 1), make(chan struct{}, 1)
	lease.Renewed = func(margin time.Duration) { left <- margin }
	lease.Expired = func() { expired <- struct{}{} }
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return lease.Run(ctx) })
	renew := func(until time.Time, margin time.Duration) {
		t.Helper()
		must.NoError(t, lease.Renew(ctx, until))
		must.Eq(t, margin, <-left)
	}
	renew(start.Add(time.Hour), 0)
	renew(start.Add(2*time.Hour), time.Hour)
	renew(start.Add(-time.Second), 2*time.Hour)
	<-expired
	renew(start.Add(time.Hour), -time.Second)
	cancel()
	must.ErrorIs(t, group.Wait(), context.Canceled)
	must.ErrorIs(t, lease.Renew(ctx, start), context.Canceled)
}
