package server

import (
	"context"

	"github.com/cockroachdb/errors"

	"oleandertally/controller/driver"
	"oleandertally/controller/sequencer"
	"oleandertally/core/operator"
	"oleandertally/core/specifier"
)

// operatorStream is the stream number of all operators' commands. Members' streams have higher numbers.
const operatorStream sequencer.Stream = 1

// operators answers the requests of the operators' command line.
type operators struct {
	decisions pendingCalls[specifier.Decision]
	reads     pendingCalls[driver.ReadAnswered]
	queues    *queues
}

// evacuate carries out an order about an availability zone. Its result is that of the operators' HTTP interface of the queues.
func (o *operators) evacuate(ctx context.Context, order operator.Evacuation) error {
	call := specifier.QueueCall{Verb: specifier.EvacuateZone, Zone: order.Zone}
	if order.Restore {
		call.Verb = specifier.RestoreZone
	}
	reply, err := o.queues.localCall(ctx, call)
	switch {
	case err != nil:
		return err
	case reply.Result == specifier.QueueOK:
		return nil
	case reply.Result == specifier.QueueUnavailable:
		return &operator.NotLeaderError{Leader: o.queues.leader()}
	}
	return errors.Mark(errors.Newf("controller: zone %.64q: %s", order.Zone, reply.Detail), operator.ErrInvalid)
}

func (o *operators) propose(ctx context.Context, command specifier.Command) (specifier.Decision, error) {
	return o.decisions.ask(ctx, func(ticket uint64) driver.Event {
		return driver.Event{Control: sequencer.Proposed{Stream: operatorStream, Sequence: ticket, Command: command}}
	})
}

func (o *operators) read(ctx context.Context, revision specifier.Revision) (operator.State, error) {
	answer, err := o.reads.ask(ctx, func(ticket uint64) driver.Event {
		return driver.Event{Read: &driver.Read{Ticket: ticket, Revision: revision}}
	})
	if err != nil {
		return operator.State{}, err
	}
	return answer.State, answer.Err
}
