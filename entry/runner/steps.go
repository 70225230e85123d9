package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/registrant"
	"oleandertally/core/supervisor"
	"oleandertally/entry/coordinator"
)

// Steps returns the steps of a graceful shutdown. They are executed while Run is still running.
func (e *Entry) Steps() []supervisor.Step {
	return []supervisor.Step{
		{Name: "AnswerJobs", Run: e.answerJobs},
		{Name: "CloseListeners", Run: e.closeListeners},
		{Name: "Leave", Run: e.deregister},
	}
}

// answerJobs refuses new jobs and waits until every accepted job is answered and recorded, for at least Notice.
func (e *Entry) answerJobs(ctx context.Context) error {
	notice := time.NewTimer(e.Notice)
	defer notice.Stop()
	if err := e.drain(ctx); err != nil {
		return err
	}
	select {
	case <-notice.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (e *Entry) drain(ctx context.Context) error {
	if err := e.mailbox.Send(ctx, coordinator.DrainRequested{}); err != nil {
		return err
	}
	select {
	case <-e.drained:
		return nil
	case <-ctx.Done():
		e.Log.Error().Str(supervisor.FieldEvent, "JobsCutOff").Int("Callers", e.waiters.Len()).Msg("callers are not answered")
		return context.Cause(ctx)
	}
}

// closeListeners stops the servers after their open requests are answered, and waits until the answers are recorded.
func (e *Entry) closeListeners(ctx context.Context) error {
	if err := e.web.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "entry: shut down the HTTP server")
	}
	// The supervisor stops waiting for this step when ctx ends; Run then closes connections that are still open.
	e.server.GracefulStop()
	return e.drain(ctx)
}

// deregister ends the session at the controllers and records the entry's departure.
func (e *Entry) deregister(ctx context.Context) error {
	close(e.leave)
	select {
	case <-e.sessionEnded:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	departure := &registrant.Departure{Identity: e.Self(), Controllers: e.Settings.Controllers, Pool: e.pools.controllers}
	return departure.Run(ctx)
}

// probe checks that the control goroutine handles an event.
func (e *Entry) probe(ctx context.Context) error {
	waiter, reply := e.waiters.Open()
	defer e.waiters.Close(waiter)
	if err := e.mailbox.Send(ctx, coordinator.Pinged{Waiter: waiter}); err != nil {
		return err
	}
	select {
	case <-reply:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
