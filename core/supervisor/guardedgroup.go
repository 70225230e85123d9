package supervisor

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// GuardedGroup is an errgroup.Group whose goroutines run under Guard.
type GuardedGroup struct {
	group *errgroup.Group
}

// WithContext returns a group and a context that ends when a goroutine of the group fails.
func WithContext(ctx context.Context) (*GuardedGroup, context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	return &GuardedGroup{group: group}, ctx
}

// Go calls run in a goroutine.
func (g *GuardedGroup) Go(run func() error) { g.group.Go(Guarded(run)) }

// Wait waits until every goroutine has returned, and returns the first error.
func (g *GuardedGroup) Wait() error { return g.group.Wait() }
