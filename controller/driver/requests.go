package driver

import (
	"time"

	"oleandertally/controller/dispatcher"
	"oleandertally/state/replicator"
)

// transferTicketBase is added to the tickets of TransferLeadership requests, to tell them from the sequencer's tickets.
const transferTicketBase = 1 << 61

// transferLeadership starts the transfer of the leadership. The answer follows when another controller leads or the log refuses.
func (d *Driver) transferLeadership(now time.Time, request TransferLeadership) {
	if d.Node.Role() != replicator.Leader {
		d.actions = append(d.actions, Action{LeadershipTransferred: &LeadershipTransferred{Ticket: request.Ticket}})
		return
	}
	d.transfers = append(d.transfers, request.Ticket)
	d.perform(now, d.Node.Step(now, replicator.Transfer{Ticket: replicator.Ticket(request.Ticket) + transferTicketBase}))
}

// answerTransfers answers every pending TransferLeadership request.
func (d *Driver) answerTransfers(detail string) {
	for _, ticket := range d.transfers {
		d.actions = append(d.actions, Action{LeadershipTransferred: &LeadershipTransferred{Ticket: ticket, Detail: detail}})
	}
	d.transfers = nil
}

// measure returns the figures of this controller.
func (d *Driver) measure(now time.Time, request Measure) {
	registrar := d.Sequencer.Registrar
	var waiting []dispatcher.WaitingTasks
	if request.Waiting {
		waiting = d.Dispatcher.Waiting()
	}
	d.actions = append(d.actions, Action{Measured: &Measured{Ticket: request.Ticket, Waiting: waiting, Term: uint64(d.Node.Term()), Leading: d.Node.Leading(now),
		Commit: uint64(d.Node.Commit()), Applied: uint64(d.Node.Applied()), Submissions: registrar.SubmissionCount(),
		Revision: registrar.Configuration().Revision, Members: registrar.Members()}})
}
