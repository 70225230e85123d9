package supervisor

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Group runs the named parts of a process. A part that fails does not cancel the others: the
// process still drains before it ends.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
	failed chan struct{}

	mutex   sync.Mutex
	running map[string]int
	first   error
}

// NewGroup returns a group whose parts run until Cancel or until ctx ends.
func NewGroup(ctx context.Context) *Group {
	g := &Group{failed: make(chan struct{}), running: make(map[string]int)}
	g.ctx, g.cancel = context.WithCancel(ctx)
	return g
}

// Go starts a part. Its context ends when the part must return; an error that it returns after
// that because of it is not a failure. Several parts may share a name.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.count(name, 1)
	g.group.Go(func() error {
		defer g.count(name, -1)
		g.record(name, run(g.ctx))
		return nil
	})
}

// Failed is closed when a part has failed.
func (g *Group) Failed() <-chan struct{} { return g.failed }

// Err returns the first failure, with the name of its part.
func (g *Group) Err() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.first
}

// Cancel tells every part to return.
func (g *Group) Cancel() { g.cancel() }

// Wait returns Err when every part has returned.
func (g *Group) Wait() error {
	_ = g.group.Wait() // parts record their errors
	return g.Err()
}

// Running returns the sorted names of the parts that have not returned.
func (g *Group) Running() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Sorted(maps.Keys(g.running))
}

func (g *Group) count(name string, change int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running[name] += change
	if g.running[name] == 0 {
		delete(g.running, name)
	}
}

func (g *Group) record(name string, err error) {
	if err == nil || g.ctx.Err() != nil && errors.IsAny(err, context.Canceled, context.Cause(g.ctx)) {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.first == nil {
		g.first = errors.Wrap(err, name)
		close(g.failed)
	}
}
