package driver

import (
	"slices"
	"time"

	"oleandertally/state/replicator"
)

// pruneInterval is how often a leader checks for servers to remove.
const pruneInterval = 500 * time.Millisecond

// pruneTicket is the ticket of every removal. Its outcome is seen in the next check.
const pruneTicket = queueTicketBase

// schedulePrune schedules the first check of a new leader for unreachable servers.
func (d *Driver) schedulePrune(now time.Time) {
	if d.VoterTimeout > 0 {
		d.pruneAt = now.Add(d.VoterTimeout)
	}
}

// prune removes a learner, or else a voter, that was unreachable for VoterTimeout. A voter is removed only while enough others are left. A
// permanently lost machine that stays a voter would count against the majority together with the next machine that is lost.
func (d *Driver) prune(now time.Time) {
	d.pruneAt = now.Add(pruneInterval)
	if !d.Node.Leading(now) {
		return
	}
	voters := 0
	var target replicator.ServerID
	learner := false
	peers := d.Node.Peers()
	for _, server := range d.servers {
		if server.Voter {
			voters++
		}
		unreachable := slices.ContainsFunc(peers, func(peer replicator.PeerStatus) bool {
			return peer.ID == server.ID && now.Sub(peer.LastContact) > d.VoterTimeout
		})
		if unreachable && (target.IsZero() || !server.Voter) {
			target, learner = server.ID, !server.Voter
		}
	}
	if target.IsZero() || !learner && voters <= max(d.MinVoters, 2) {
		return
	}
	d.perform(now, d.Node.Step(now, replicator.RemoveServer{Ticket: pruneTicket, ID: target}))
}
