package driver

import (
	"time"

	"oleandertally/state/replicator"
)

// transferTickets is added to the tickets of requests to hand over, which the sequencer does not know.
const transferTickets = 1 << 61

// handOver starts the transfer of the leadership. The answer follows when the log has a new role.
func (d *Driver) handOver(now time.Time, request HandOver) {
	if d.Node.Role() != replicator.Leader {
		d.out = append(d.out, Action{HandedOver: &HandedOver{Ticket: request.Ticket}})
		return
	}
	d.leaving = append(d.leaving, request.Ticket)
	d.perform(now, d.Node.Step(now, replicator.Transfer{Ticket: replicator.Ticket(request.Ticket) + transferTickets}))
}

// handedOver answers every request to hand over.
func (d *Driver) handedOver(detail string) {
	for _, ticket := range d.leaving {
		d.out = append(d.out, Action{HandedOver: &HandedOver{Ticket: ticket, Detail: detail}})
	}
	d.leaving = nil
}

// measure returns the figures of this controller.
func (d *Driver) measure(now time.Time, request Measure) {
	registrar := d.Sequencer.Registrar
	d.out = append(d.out, Action{Measured: &Measured{Ticket: request.Ticket, Term: uint64(d.Node.Term()), Leading: d.Node.Leading(now),
		Commit: uint64(d.Node.Commit()), Applied: uint64(d.Node.Applied()), Submissions: registrar.SubmissionCount(),
		Revision: registrar.Configuration().Revision, Members: registrar.Members()}})
}
