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

// queueTicketBase is added to the tickets of the dispatcher's commands, to tell them from the sequencer's tickets.
const queueTicketBase = 1 << 60

// queue performs the actions of the dispatcher. Its commands are proposed to the log; those that arrive while a write is being synced
// share the next write.
func (d *Driver) queue(now time.Time, actions []dispatcher.Action) {
	for _, action := range actions {
		propose, ok := action.(dispatcher.Propose)
		if !ok {
			d.actions = append(d.actions, Action{Queue: action})
			continue
		}
		data, err := proto.Marshal(encoder.EncodeBatch(specifier.Batch{QueueCommands: []specifier.QueueCommand{propose.Command}}))
		if err != nil {
			d.Fault(errors.Wrap(err, "driver: encode a command of the queues"))
			continue
		}
		d.lastQueueTicket++
		ticket := queueTicketBase + d.lastQueueTicket
		if d.proposedCommands == nil {
			d.proposedCommands = make(map[replicator.Ticket]specifier.QueueCommand)
		}
		d.proposedCommands[ticket] = propose.Command
		d.perform(now, d.Node.Step(now, replicator.Propose{Ticket: ticket, Data: data}))
	}
}

// queueCommandRefused reports to the dispatcher that the log did not accept a command.
func (d *Driver) queueCommandRefused(now time.Time, refused replicator.Refused) {
	command := d.proposedCommands[refused.Ticket]
	delete(d.proposedCommands, refused.Ticket)
	d.queue(now, d.Dispatcher.Step(now, dispatcher.Rejected{Command: command, TooLarge: refused.Reason == replicator.TooLarge}))
}

// enoughVoters reports whether the log has at least MinVoters voters.
func (d *Driver) enoughVoters() bool {
	voters := 0
	for _, server := range d.servers {
		if server.Voter {
			voters++
		}
	}
	return voters >= d.MinVoters
}
