package supervisor

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// Supervisor ends a process in order. Fields are set before Run.
type Supervisor struct {
	Log        zerolog.Logger
	Health     *Health          // not ready from the start of the shutdown
	Group      *Group           // its parts are told to return after the last step
	Steps      []Step           // in the order in which they run
	StopWithin time.Duration    // from the start of the shutdown until it is cut off
	Signals    <-chan os.Signal // the first starts the shutdown, the second cuts it off

	helpers errgroup.Group
}

// Run waits for a signal, the end of ctx or the failure of a part, and then shuts down. It
// returns nil after a whole shutdown, the failure of a part, or a *CutOffError, after which the
// process must exit: what was cut off may still be running.
func (s *Supervisor) Run(ctx context.Context) error {
	if err := s.checkFields(); err != nil {
		return err
	}
	s.logEvent("ProcessStarted").Msg("started")
	s.wait(ctx)
	s.Health.Stop()
	stopping, cancel := context.WithTimeoutCause(context.WithoutCancel(ctx), s.StopWithin, ErrStopDeadline)
	defer cancel()
	stopping, interrupt := context.WithCancelCause(stopping)
	defer interrupt(nil)
	s.helpers.Go(func() error { s.watch(stopping, interrupt); return nil })
	left := s.runSteps(stopping)
	parts := s.stopParts(stopping)
	return s.finish(stopping, left, parts)
}

func (s *Supervisor) checkFields() error {
	if s.Health == nil || s.Group == nil || s.Signals == nil || s.StopWithin <= 0 {
		return errors.New("supervisor: Health, Group, Signals and StopWithin must be set")
	}
	return nil
}

// wait returns when the shutdown must start.
func (s *Supervisor) wait(ctx context.Context) {
	select {
	case received := <-s.Signals:
		s.logEvent("ShutdownStarted").Str("Signal", received.String()).Msg("shutting down")
	case <-ctx.Done():
		s.logEvent("ShutdownStarted").Msg("shutting down")
	case <-s.Group.Failed():
		s.Log.Error().Str(FieldEvent, "PartFailed").Err(s.Group.Err()).Msg("shutting down after a failure")
	}
}

// watch cuts the shutdown off when another signal arrives.
func (s *Supervisor) watch(stopping context.Context, interrupt context.CancelCauseFunc) {
	select {
	case <-s.Signals:
		interrupt(ErrInterrupted)
	case <-stopping.Done():
	}
}

// runSteps returns the names of the steps that did not finish.
func (s *Supervisor) runSteps(stopping context.Context) []string {
	for i, step := range s.Steps {
		if !s.runStep(stopping, i, step) {
			var left []string
			for _, other := range s.Steps[i:] {
				left = append(left, other.Name)
			}
			return left
		}
	}
	return nil
}

// runStep reports whether step ended before the shutdown was cut off. A step that ignores its
// context is left behind. A step that fails does not keep the next one from running.
func (s *Supervisor) runStep(stopping context.Context, i int, step Step) bool {
	if stopping.Err() != nil {
		return false
	}
	progress := func(event *zerolog.Event, name string) *zerolog.Event {
		return event.Str(FieldEvent, name).Str("Step", step.Name).Int("Number", i+1).Int("Of", len(s.Steps))
	}
	progress(s.Log.Info(), "StepStarted").Msg("shutdown step started")
	ended := make(chan error, 1)
	s.helpers.Go(func() error { ended <- step.Run(stopping); return nil })
	select {
	case err := <-ended:
		if err != nil && stopping.Err() != nil {
			return false
		}
		if err != nil {
			progress(s.Log.Error(), "StepFailed").Err(err).Msg("shutdown step failed")
		} else {
			progress(s.Log.Info(), "StepFinished").Msg("shutdown step finished")
		}
		return true
	case <-stopping.Done():
		return false
	}
}

// stopParts tells the parts to return and gives the names of those that do not in time.
func (s *Supervisor) stopParts(stopping context.Context) []string {
	cut := stopping.Err() != nil
	running := s.Group.Running()
	s.Group.Cancel()
	if cut {
		return running
	}
	ended := make(chan struct{})
	s.helpers.Go(func() error { defer close(ended); _ = s.Group.Wait(); return nil })
	select {
	case <-ended:
		return nil
	case <-stopping.Done():
		return s.Group.Running()
	}
}

func (s *Supervisor) finish(stopping context.Context, steps, parts []string) error {
	if len(steps)+len(parts) > 0 {
		cut := &CutOffError{Cause: context.Cause(stopping), Steps: steps, Parts: parts}
		s.Log.Error().Str(FieldEvent, "ShutdownCutOff").Err(cut.Cause).
			Strs("Steps", steps).Strs("Parts", parts).Msg("shutdown cut off")
		return errors.CombineErrors(cut, s.Group.Err())
	}
	s.logEvent("ProcessStopped").Msg("stopped")
	return s.Group.Err()
}

func (s *Supervisor) logEvent(name string) *zerolog.Event {
	return s.Log.Info().Str(FieldEvent, name)
}
