package driver

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
	"oleandertally/state/replicator"
)

// queueTickets is added to the tickets of the queues' commands, which the sequencer does not know.
const queueTickets = 1 << 60

// queue performs the actions of the dispatcher. A command goes to the log; all that arrive while one write is being synced
// share the next one.
func (d *Driver) queue(now time.Time, actions []dispatcher.Action) {
	for _, action := range actions {
		propose, ok := action.(dispatcher.Propose)
		if !ok {
			d.out = append(d.out, Action{Queue: action})
			continue
		}
		data, err := proto.Marshal(encoder.EncodeBatch(specifier.Batch{Queue: []specifier.QueueCommand{propose.Command}}))
		if err != nil {
			d.Fault(errors.Wrap(err, "driver: encode a command of the queues"))
			continue
		}
		d.lastQueued++
		ticket := queueTickets + d.lastQueued
		if d.queued == nil {
			d.queued = make(map[replicator.Ticket]specifier.QueueCommand)
		}
		d.queued[ticket] = propose.Command
		d.perform(now, d.Node.Step(now, replicator.Propose{Ticket: ticket, Data: data}))
	}
}

// queueRefused tells the dispatcher that the log did not take a command.
func (d *Driver) queueRefused(now time.Time, ticket replicator.Ticket) {
	command := d.queued[ticket]
	delete(d.queued, ticket)
	d.queue(now, d.Dispatcher.Step(now, dispatcher.Rejected{Command: command}))
}

// enoughVoters reports whether enough controllers hold the log.
func (d *Driver) enoughVoters() bool {
	voters := 0
	for _, server := range d.servers {
		if server.Voter {
			voters++
		}
	}
	return voters >= d.MinVoters
}
