package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/controller/driver"
	"oleandertally/core/supervisor"
)

// Steps returns the steps of a graceful shutdown. Run must still serve while they run.
func (c *Controller) Steps() []supervisor.Step {
	return []supervisor.Step{{Name: "HandOver", Run: c.TransferLeadership}}
}

// TransferLeadership makes another voter the leader and returns once it leads. It returns an error if no other
// voter can lead. Stopping is still safe then, but the others elect a leader only after the election timeout.
func (c *Controller) TransferLeadership(ctx context.Context) error {
	for !c.hasEnded() {
		answer, err := c.tryTransfer(ctx)
		switch {
		case err == nil && answer.Detail == "":
			return nil
		case err == nil:
			return errors.Newf("controller: this controller still leads: %s", answer.Detail)
		case ctx.Err() != nil:
			return err
		}
	}
	return errors.New("controller: this controller has ended")
}

// hasEnded reports whether Run has returned, for example after a fault of the disk. The controller no longer leads then.
func (c *Controller) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// tryTransfer gives up after two election timeouts: if the chosen voter does not catch up within one, the transfer ends
// without an answer.
func (c *Controller) tryTransfer(ctx context.Context) (driver.LeadershipTransferred, error) {
	ctx, cancel := context.WithTimeout(ctx, max(2*c.Consensus.ElectionTimeout, time.Second))
	defer cancel()
	return c.transfers.ask(ctx, func(ticket uint64) driver.Event {
		return driver.Event{TransferLeadership: &driver.TransferLeadership{Ticket: ticket}}
	})
}
