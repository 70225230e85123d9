package supervisor

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

var errBroken = errors.New("broken")

// fixture is a supervisor with one part. It records the log and the names of the finished steps.
type fixture struct {
	*Supervisor
	signals chan os.Signal
	log     bytes.Buffer
	done    []string
}

func newFixture(steps ...string) *fixture {
	f := &fixture{signals: make(chan os.Signal, 2)}
	log, err := NewLogger(&f.log, "Info", "entry-1", specifier.Entry)
	if err != nil {
		panic(err)
	}
	f.Supervisor = &Supervisor{Log: log, Health: NewHealth(), Group: NewGroup(context.Background()),
		StopWithin: time.Minute, Signals: f.signals}
	f.Group.Go("Loop", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	for _, name := range steps {
		f.Steps = append(f.Steps, f.step(name))
	}
	return f
}

func (f *fixture) step(name string) Step {
	return Step{name, func(context.Context) error { f.done = append(f.done, name); return nil }}
}

// addBlockingStep adds a step that returns only when its context ends.
func (f *fixture) addBlockingStep(name string) {
	f.Steps = append(f.Steps, Step{name, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }})
}

func mustCutOff(t *testing.T, err, cause error, steps, parts []string) {
	t.Helper()
	var cut *CutOffError
	must.True(t, errors.As(err, &cut), must.Sprintf("expected a cut off shutdown, got %v", err))
	must.ErrorIs(t, cut, cause)
	must.Eq(t, steps, cut.Steps)
	must.Eq(t, parts, cut.Parts)
}

func mustLog(t *testing.T, f *fixture, events ...string) {
	t.Helper()
	var seen []string
	for line := range strings.Lines(f.log.String()) {
		_, rest, _ := strings.Cut(line, `"Event":"`)
		name, _, _ := strings.Cut(rest, `"`)
		seen = append(seen, name)
	}
	must.Eq(t, events, seen)
}

func TestShutdown(t *testing.T) {
	t.Run("signal", func(t *testing.T) {
		// Guards against steps that run out of order or after the parts have stopped.
		synctest.Test(t, func(t *testing.T) {
			f := newFixture("Refuse", "Drain")
			f.Steps = append(f.Steps, Step{"Inspect", func(context.Context) error {
				must.Eq(t, []string{"Loop"}, f.Group.Running())
				must.Eq(t, []string{"shutting down"}, f.Health.Unmet())
				return nil
			}})
			f.signals <- syscall.SIGTERM
			must.NoError(t, f.Run(context.Background()))
			must.Eq(t, []string{"Refuse", "Drain"}, f.done)
			must.SliceEmpty(t, f.Group.Running())
			mustLog(t, f, "ProcessStarted", "ShutdownStarted", "StepStarted", "StepFinished",
				"StepStarted", "StepFinished", "StepStarted", "StepFinished", "ProcessStopped")
		})
	})
	t.Run("end of the context", func(t *testing.T) {
		// Guards against steps that inherit the ended context of Run and so do nothing.
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			f := newFixture()
			f.Steps = []Step{{"Drain", func(ctx context.Context) error { return ctx.Err() }}}
			must.NoError(t, f.Run(ctx))
			mustLog(t, f, "ProcessStarted", "ShutdownStarted", "StepStarted", "StepFinished", "ProcessStopped")
		})
	})
	t.Run("failed part", func(t *testing.T) {
		// Guards against a process that exits without draining because a part failed.
		synctest.Test(t, func(t *testing.T) {
			f := newFixture("Drain")
			f.Group.Go("Disk", func(context.Context) error { return errBroken })
			err := f.Run(context.Background())
			must.ErrorIs(t, err, errBroken)
			must.ErrorContains(t, err, "Disk: broken")
			must.Eq(t, []string{"Drain"}, f.done)
		})
	})
	t.Run("failed step", func(t *testing.T) {
		// Guards against a failed step that prevents later ones, such as the last sync.
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			f.Steps = []Step{{"Drain", func(context.Context) error { return errBroken }}, f.step("Sync")}
			f.signals <- syscall.SIGINT
			must.NoError(t, f.Run(context.Background()))
			must.Eq(t, []string{"Sync"}, f.done)
			mustLog(t, f, "ProcessStarted", "ShutdownStarted", "StepStarted", "StepFailed", "StepStarted", "StepFinished", "ProcessStopped")
		})
	})
	t.Run("missing field", func(t *testing.T) {
		must.ErrorContains(t, (&Supervisor{}).Run(context.Background()), "must be set")
	})
}

func TestAbortedShutdown(t *testing.T) {
	t.Run("deadline", func(t *testing.T) {
		// Guards against a drain that never ends.
		synctest.Test(t, func(t *testing.T) {
			f := newFixture("Refuse")
			f.addBlockingStep("Drain")
			f.Steps = append(f.Steps, f.step("Sync"))
			f.signals <- syscall.SIGTERM
			mustCutOff(t, f.Run(context.Background()), ErrStopDeadline, []string{"Drain", "Sync"}, []string{"Loop"})
			must.Eq(t, []string{"Refuse"}, f.done)
			must.NoError(t, f.Group.Wait())
		})
	})
	t.Run("second signal", func(t *testing.T) {
		// Guards against a drain that an operator cannot abort.
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			f.addBlockingStep("Drain")
			f.signals <- syscall.SIGTERM
			f.signals <- syscall.SIGTERM
			mustCutOff(t, f.Run(context.Background()), ErrInterrupted, []string{"Drain"}, []string{"Loop"})
			must.StrContains(t, f.log.String(), `"Event":"ShutdownCutOff","Error":"a second signal arrived","Steps":["Drain"],"Parts":["Loop"]`)
		})
	})
	t.Run("step that ignores its context", func(t *testing.T) {
		// Guards against a stuck step that keeps the process from exiting.
		synctest.Test(t, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			f := newFixture()
			f.Steps = []Step{{"Stuck", func(context.Context) error { <-release; return nil }}}
			f.signals <- syscall.SIGTERM
			mustCutOff(t, f.Run(context.Background()), ErrStopDeadline, []string{"Stuck"}, []string{"Loop"})
		})
	})
	t.Run("part that ignores its context", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			f := newFixture("Drain")
			f.Group.Go("Stuck", func(context.Context) error { <-release; return nil })
			f.signals <- syscall.SIGTERM
			mustCutOff(t, f.Run(context.Background()), ErrStopDeadline, nil, []string{"Stuck"})
		})
	})
}
