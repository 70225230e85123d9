package looper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/supervisor"
)

// Loop runs a machine: it waits for an event or the next deadline, steps the machine, and passes each
// action to Perform, which must not block. Fields are set before Run.
type Loop[E, A any] struct {
	Machine Machine[E, A]
	Mailbox *Mailbox[E]
	Perform func(A)
	Clock   func() time.Time
}

// Run runs the machine until ctx ends, and returns the context's error. After a panic of the machine its state may be half
// changed: Run performs nothing of that step and returns the panic as an error, with which the process must end.
func (l *Loop[E, A]) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.resetTimer(timer)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case event := <-l.Mailbox.events:
			if err := l.step(event); err != nil {
				return err
			}
		case <-timer.C:
		}
		if err := l.expire(); err != nil {
			return err
		}
	}
}

func (l *Loop[E, A]) step(event E) error {
	err := supervisor.Guard(func() error {
		l.perform(l.Machine.Step(l.Clock(), event))
		return nil
	})
	return errors.Wrapf(err, "looper: handle %T", event)
}

func (l *Loop[E, A]) expire() error {
	now := l.Clock()
	if next := l.Machine.Next(); next.IsZero() || next.After(now) {
		return nil
	}
	err := supervisor.Guard(func() error {
		l.perform(l.Machine.Expire(now))
		return nil
	})
	return errors.Wrap(err, "looper: handle a deadline")
}

func (l *Loop[E, A]) resetTimer(timer *time.Timer) {
	next := l.Machine.Next()
	if next.IsZero() {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(next.Sub(l.Clock()), 0))
}

func (l *Loop[E, A]) perform(actions []A) {
	for _, action := range actions {
		l.Perform(action)
	}
}
