package server

import (
	"context"

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
