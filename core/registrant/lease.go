package registrant

import (
	"context"
	"time"
)

// Lease watches the lease of one member. Exported fields are set before Run.
type Lease struct {
	Clock   func() time.Time
	Renewed func(left time.Duration) // time that was left of the lease, negative after its end
	Expired func()

	renewals chan time.Time
}

// NewLease returns a lease whose fields are still to be set.
func NewLease() *Lease { return &Lease{renewals: make(chan time.Time)} }

// Renew reports a new end of the lease.
func (l *Lease) Renew(ctx context.Context, until time.Time) error {
	select {
	case l.renewals <- until:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Run calls Renewed at each renewal, with 0 at the first one, and Expired when the lease ends before it is
// renewed, until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	timer.Stop()
	var end time.Time
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
			l.Expired()
		case until := <-l.renewals:
			now := l.Clock()
			left := time.Duration(0)
			if !end.IsZero() {
				left = end.Sub(now)
			}
			end = until
			timer.Reset(until.Sub(now))
			l.Renewed(left)
		}
	}
}
