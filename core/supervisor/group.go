package supervisor

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Group runs the named parts of a process, each in a goroutine. A part that fails does not cancel the
// others, since the process still has to drain before it exits.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
	failed chan struct{}

	mutex    sync.Mutex
	running  map[string]int
	firstErr error
}

// NewGroup returns a group whose parts run until Cancel or until ctx ends.
func NewGroup(ctx context.Context) *Group {
	g := &Group{failed: make(chan struct{}), running: make(map[string]int)}
	g.ctx, g.cancel = context.WithCancel(ctx)
	return g
}

// Go starts a part. The context is cancelled when the part must return; a context error that the part
// returns after that is not a failure, and a panic is one. Several parts may have the same name.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.addRunning(name, 1)
	g.group.Go(func() error {
		defer g.addRunning(name, -1)
		g.recordFailure(name, Guard(func() error { return run(g.ctx) }))
		return nil
	})
}

// Failed returns a channel that is closed when a part has failed.
func (g *Group) Failed() <-chan struct{} { return g.failed }

// Err returns the first failure, wrapped with the name of the part.
func (g *Group) Err() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.firstErr
}

// Cancel cancels the context of every part.
func (g *Group) Cancel() { g.cancel() }

// Wait waits until every part has returned, and returns Err.
func (g *Group) Wait() error {
	_ = g.group.Wait() // always nil: Go records the errors of parts
	return g.Err()
}

// Running returns the sorted names of the parts that have not returned yet.
func (g *Group) Running() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Sorted(maps.Keys(g.running))
}

func (g *Group) addRunning(name string, change int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running[name] += change
	if g.running[name] == 0 {
		delete(g.running, name)
	}
}

func (g *Group) recordFailure(name string, err error) {
	if err == nil || g.ctx.Err() != nil && errors.IsAny(err, context.Canceled, context.Cause(g.ctx)) {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.firstErr == nil {
		g.firstErr = errors.Wrap(err, name)
		close(g.failed)
	}
}
