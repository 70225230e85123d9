package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/controller/driver"
	"oleandertally/core/supervisor"
)

// Steps are those of a planned stop, while Run goes on.
func (c *Controller) Steps() []supervisor.Step {
	return []supervisor.Step{{Name: "HandOver", Run: c.TransferLeadership}}
}

// HandOver gives the leadership to another voter and returns once that one leads. It returns
// an error when no other voter can take it; stopping is safe then too, but the others elect a leader
// only after the election timeout.
func (c *Controller) TransferLeadership(ctx context.Context) error {
	for !c.hasEnded() {
		answer, err := c.handOverOnce(ctx)
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

// hasEnded reports whether Run has returned, as it does after a fault of the disk: then there is nothing to hand over.
func (c *Controller) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// handOverOnce gives up after two election timeouts: a transfer to a voter that does not catch up within one
// has ended without an answer.
func (c *Controller) handOverOnce(ctx context.Context) (driver.LeadershipTransferred, error) {
	ctx, cancel := context.WithTimeout(ctx, max(2*c.Consensus.ElectionTimeout, time.Second))
	defer cancel()
	return c.handOvers.ask(ctx, func(ticket uint64) driver.Event {
		return driver.Event{TransferLeadership: &driver.TransferLeadership{Ticket: ticket}}
	})
}
