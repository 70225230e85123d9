package looper

import (
	"context"
	"time"
)

// Loop runs a machine: it waits for an event or the next deadline, steps the machine, and passes each
// action to Perform, which must not block. Fields are set before Run.
type Loop[E, A any] struct {
	Machine Machine[E, A]
	Mailbox *Mailbox[E]
	Perform func(A)
	Clock   func() time.Time
}

// Run runs the machine until ctx ends, and returns the context's error.
func (l *Loop[E, A]) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.resetTimer(timer)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case event := <-l.Mailbox.events:
			l.perform(l.Machine.Step(l.Clock(), event))
		case <-timer.C:
		}
		now := l.Clock()
		if next := l.Machine.Next(); !next.IsZero() && !next.After(now) {
			l.perform(l.Machine.Expire(now))
		}
	}
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
