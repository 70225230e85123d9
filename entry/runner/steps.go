package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/registrant"
	"oleandertally/core/supervisor"
	"oleandertally/entry/coordinator"
)

// Steps are those of a graceful shutdown. They run while Run goes on.
func (e *Entry) Steps() []supervisor.Step {
	return []supervisor.Step{
		{Name: "AnswerJobs", Run: e.answerJobs},
		{Name: "CloseListeners", Run: e.closeListeners},
		{Name: "Leave", Run: e.leaveSite},
	}
}

// answerJobs refuses new jobs and waits until every other one is answered and recorded.
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

// closeListeners ends the servers after the requests that they have, and waits for what these have left
// to record.
func (e *Entry) closeListeners(ctx context.Context) error {
	if err := e.web.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "entry: answer the last callers")
	}
	// The supervisor stops waiting for this when ctx ends; Run then breaks what is still open.
	e.server.GracefulStop()
	return e.drain(ctx)
}

// leaveSite records that the entry has left.
func (e *Entry) leaveSite(ctx context.Context) error {
	close(e.leave)
	select {
	case <-e.attended:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	departure := &registrant.Departure{Identity: e.Self(), Controllers: e.Settings.Controllers, Pool: e.pools.controllers}
	return departure.Run(ctx)
}

// probe passes an event through the control goroutine.
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
