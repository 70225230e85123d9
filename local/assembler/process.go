package assembler

import (
	"context"
	"runtime/pprof"

	"golang.org/x/sync/errgroup"
)

// process is one running role.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// start runs a role in the group until it is killed or ctx ends. A role that ends by itself
// with an error ends the site. All its goroutines carry the role's name in processor profiles.
func start(ctx context.Context, group *errgroup.Group, role string, run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{cancel: cancel, done: make(chan struct{})}
	group.Go(func() error {
		defer close(p.done)
		var err error
		pprof.Do(ctx, pprof.Labels("Role", role), func(ctx context.Context) { err = run(ctx) })
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
	return p
}

// kill ends the role at once and waits for it.
func (p *process) kill() {
	p.cancel()
	<-p.done
}
