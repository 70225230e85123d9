package server

import (
	"context"

	"oleandertally/controller/dispatcher"
	"oleandertally/controller/driver"
	"oleandertally/state/replicator"
)

// leaderKnown is the condition of readiness: without a leader the controllers decide nothing.
const leaderKnown = "LeaderKnown"

// Conditions returns the conditions of readiness, for supervisor.NewHealth.
func Conditions() []string { return []string{leaderKnown} }

// Probe returns nil once the control goroutine has answered an event.
func (c *Controller) Probe(ctx context.Context) error {
	_, err := c.measure(ctx, driver.Measure{})
	return err
}

// Waiting returns the numbers of tasks that wait for a worker. They are empty unless this controller leads.
func (c *Controller) Waiting(ctx context.Context) ([]dispatcher.WaitingTasks, error) {
	measured, err := c.measure(ctx, driver.Measure{Waiting: true})
	return measured.Waiting, err
}

func (c *Controller) measure(ctx context.Context, request driver.Measure) (driver.Measured, error) {
	return c.measures.ask(ctx, func(ticket uint64) driver.Event {
		request.Ticket = ticket
		return driver.Event{Measure: &request}
	})
}

func (c *Controller) logFollower(log replicator.BecameFollower) {
	if log.Leader.IsZero() {
		c.Health.SetUnmet(leaderKnown, "no leader is known")
	} else {
		c.Health.SetMet(leaderKnown)
	}
	c.Log.Info().Str("Event", "BecameFollower").Uint64("Term", uint64(log.Term)).Str("Peer", log.Leader.Name).Msg("this controller does not lead")
}
