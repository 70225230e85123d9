package supervisor

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// Supervisor runs a process until it must stop, and then shuts it down gracefully: first the steps in
// order, then the parts. Its fields must be set before Run.
type Supervisor struct {
	Log        zerolog.Logger
	Health     *Health          // set to not ready at the start of the shutdown
	Group      *Group           // its parts are cancelled after the last step
	Steps      []Step           // in the order in which they run
	StopWithin time.Duration    // time limit of the shutdown
	Signals    <-chan os.Signal // the first signal starts the shutdown, the second aborts it

	helpers errgroup.Group
}

// Run waits for a signal, the end of ctx or the failure of a part, and then shuts the process down. It
// returns nil after a complete shutdown, or else the failure of a part or a *CutOffError. After a
// *CutOffError the process must exit, because steps and parts may still be running.
func (s *Supervisor) Run(ctx context.Context) error {
	if err := s.checkFields(); err != nil {
		return err
	}
	s.logEvent("ProcessStarted").Msg("started")
	s.waitForShutdown(ctx)
	s.Health.Stop()
	stopCtx, cancel := context.WithTimeoutCause(context.WithoutCancel(ctx), s.StopWithin, ErrStopDeadline)
	defer cancel()
	stopCtx, interrupt := context.WithCancelCause(stopCtx)
	defer interrupt(nil)
	s.helpers.Go(func() error { s.watchSignals(stopCtx, interrupt); return nil })
	unfinished := s.runSteps(stopCtx)
	parts := s.stopParts(stopCtx)
	return s.finish(stopCtx, unfinished, parts)
}

func (s *Supervisor) checkFields() error {
	if s.Health == nil || s.Group == nil || s.Signals == nil || s.StopWithin <= 0 {
		return errors.New("supervisor: Health, Group, Signals and StopWithin must be set")
	}
	return nil
}

// waitForShutdown returns when the shutdown must start, and logs why.
func (s *Supervisor) waitForShutdown(ctx context.Context) {
	select {
	case received := <-s.Signals:
		s.logEvent("ShutdownStarted").Str("Signal", received.String()).Msg("shutting down")
	case <-ctx.Done():
		s.logEvent("ShutdownStarted").Msg("shutting down")
	case <-s.Group.Failed():
		s.Log.Error().Str(FieldEvent, "PartFailed").Err(s.Group.Err()).Msg("shutting down after a failure")
	}
}

// watchSignals aborts the shutdown when another signal arrives.
func (s *Supervisor) watchSignals(stopCtx context.Context, interrupt context.CancelCauseFunc) {
	select {
	case <-s.Signals:
		interrupt(ErrInterrupted)
	case <-stopCtx.Done():
	}
}

// runSteps runs the steps in order and returns the names of those that did not finish.
func (s *Supervisor) runSteps(stopCtx context.Context) []string {
	for i, step := range s.Steps {
		if !s.runStep(stopCtx, i, step) {
			var unfinished []string
			for _, other := range s.Steps[i:] {
				unfinished = append(unfinished, other.Name)
			}
			return unfinished
		}
	}
	return nil
}

// runStep runs one step and reports whether it ended before the shutdown was aborted. It does not wait
// for a step that ignores its context. A step that fails counts as ended, so the next one still runs.
func (s *Supervisor) runStep(stopCtx context.Context, i int, step Step) bool {
	if stopCtx.Err() != nil {
		return false
	}
	progress := func(event *zerolog.Event, name string) *zerolog.Event {
		return event.Str(FieldEvent, name).Str("Step", step.Name).Int("Number", i+1).Int("Of", len(s.Steps))
	}
	progress(s.Log.Info(), "StepStarted").Msg("shutdown step started")
	ended := make(chan error, 1)
	s.helpers.Go(func() error { ended <- step.Run(stopCtx); return nil })
	select {
	case err := <-ended:
		if err != nil && stopCtx.Err() != nil {
			return false
		}
		if err != nil {
			progress(s.Log.Error(), "StepFailed").Err(err).Msg("shutdown step failed")
		} else {
			progress(s.Log.Info(), "StepFinished").Msg("shutdown step finished")
		}
		return true
	case <-stopCtx.Done():
		return false
	}
}

// stopParts cancels the parts and returns the names of those that do not return in time. If the
// shutdown is already aborted, it does not wait and returns all running parts.
func (s *Supervisor) stopParts(stopCtx context.Context) []string {
	aborted := stopCtx.Err() != nil
	running := s.Group.Running()
	s.Group.Cancel()
	if aborted {
		return running
	}
	ended := make(chan struct{})
	s.helpers.Go(func() error { defer close(ended); _ = s.Group.Wait(); return nil })
	select {
	case <-ended:
		return nil
	case <-stopCtx.Done():
		return s.Group.Running()
	}
}

func (s *Supervisor) finish(stopCtx context.Context, steps, parts []string) error {
	if len(steps)+len(parts) > 0 {
		cut := &CutOffError{Cause: context.Cause(stopCtx), Steps: steps, Parts: parts}
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
