package deployer

import (
	"context"
	"runtime/pprof"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// process is one running role.
type process struct {
	role   role
	cancel context.CancelFunc
	done   chan struct{}
}

// start runs a role in the group until it is killed or ctx ends. A role that ends with an error without being stopped ends
// the site. In CPU profiles, its goroutines are labelled with kind.
func start(ctx context.Context, group *errgroup.Group, kind string, role role) *process {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{role: role, cancel: cancel, done: make(chan struct{})}
	group.Go(func() error {
		defer close(p.done)
		var err error
		pprof.Do(ctx, pprof.Labels("Role", kind), func(ctx context.Context) { err = role.Run(ctx) })
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
	return p
}

// kill terminates the role immediately and waits until it has ended.
func (p *process) kill() {
	p.cancel()
	<-p.done
}

// stop runs the steps of a graceful shutdown and then terminates the role.
func (p *process) stop(ctx context.Context) error {
	defer p.kill()
	return p.runSteps(ctx, 0, len(p.role.Steps()))
}

// runSteps runs the steps of a graceful shutdown from from up to, but not including, to.
func (p *process) runSteps(ctx context.Context, from, to int) error {
	for _, step := range p.role.Steps()[from:to] {
		if err := step.Run(ctx); err != nil {
			return errors.Wrap(err, step.Name)
		}
	}
	return nil
}
