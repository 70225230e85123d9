package runner

import (
	"context"
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/registrant"
	"oleandertally/core/supervisor"
)

// releaseBound is how long an entry may take to release the agent. One that is lost never does, and its
// jobs are taken over by another entry.
const releaseBound = 5 * time.Second

// Steps are those of a graceful shutdown. They run while Run goes on.
func (a *Agent) Steps() []supervisor.Step {
	return []supervisor.Step{
		{Name: "FinishTasks", Run: a.finishTasks},
		{Name: "HandOverResults", Run: a.handOver},
		{Name: "Leave", Run: a.leaveSite},
	}
}

// finishTasks hands back what has not started and waits for what runs.
func (a *Agent) finishTasks(ctx context.Context) error {
	if err := a.mailbox.Send(ctx, executor.Leaving{}); err != nil {
		return err
	}
	return wait(ctx, a.ended)
}

// handOver waits until every entry has the results that it waits for. An entry that does not release the agent
// in time is lost or has left, and fails nothing.
func (a *Agent) handOver(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, releaseBound)
	defer cancel()
	if err := wait(bounded, a.left); err != nil && ctx.Err() == nil {
		a.Log.Warn().Str(supervisor.FieldEvent, "NotReleased").Msg("an entry did not release this agent in time")
		return nil
	}
	return context.Cause(ctx)
}

// leaveSite records that the agent has left.
func (a *Agent) leaveSite(ctx context.Context) error {
	close(a.leave)
	if err := wait(ctx, a.attended); err != nil {
		return err
	}
	departure := &registrant.Departure{Identity: a.Self(), Controllers: a.Settings.Controllers, Pool: a.pool}
	return departure.Run(ctx)
}

// probe passes an event through the control goroutine.
func (a *Agent) probe(ctx context.Context) error {
	number, answered := a.pings.start()
	defer a.pings.forget(number)
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
