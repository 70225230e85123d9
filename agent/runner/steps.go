package runner

import (
	"context"
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/registrant"
	"oleandertally/core/supervisor"
)

// releaseTimeout is how long the entries may take to release the agent. An entry that has failed never does, and another
// entry takes over its jobs.
const releaseTimeout = 5 * time.Second

// Steps returns the steps of a graceful shutdown. They are executed while Run is still running.
func (a *Agent) Steps() []supervisor.Step {
	return []supervisor.Step{
		{Name: "FinishTasks", Run: a.finishTasks},
		{Name: "HandOverResults", Run: a.handOverResults},
		{Name: "Leave", Run: a.deregister},
	}
}

// finishTasks makes the executor refuse the queued tasks, and waits for the running ones to end.
func (a *Agent) finishTasks(ctx context.Context) error {
	if err := a.mailbox.Send(ctx, executor.Leaving{}); err != nil {
		return err
	}
	return wait(ctx, a.workFinished)
}

// handOverResults waits until every entry has received its results and released the agent. An entry that does not do so
// in time has failed or left, which is no error of the shutdown.
func (a *Agent) handOverResults(ctx context.Context) error {
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := wait(releaseCtx, a.allReleased); err != nil && ctx.Err() == nil {
		a.Log.Warn().Str(supervisor.FieldEvent, "NotReleased").Msg("an entry did not release this agent in time")
		return nil
	}
	return context.Cause(ctx)
}

// deregister ends the session with the controllers, and has them record that the agent has left.
func (a *Agent) deregister(ctx context.Context) error {
	close(a.leave)
	if err := wait(ctx, a.sessionEnded); err != nil {
		return err
	}
	departure := &registrant.Departure{Identity: a.Self(), Controllers: a.Settings.Controllers, Pool: a.pool}
	return departure.Run(ctx)
}

// probe checks that the control goroutine handles events.
func (a *Agent) probe(ctx context.Context) error {
	number, answered := a.pings.start()
	defer a.pings.cancel(number)
	if err := a.mailbox.Send(ctx, executor.Pinged{Number: number}); err != nil {
		return err
	}
	return wait(ctx, answered)
}

func wait(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
