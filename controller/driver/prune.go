package driver

import (
	"slices"
	"time"

	"oleandertally/state/replicator"
)

// pruneEvery is how often a leader looks for voters that are gone for good.
const pruneEvery = 500 * time.Millisecond

// pruneTicket is that of every removal; its outcome is seen in the next look.
const pruneTicket = queueTickets

// watchPeers begins to look for voters that are gone.
func (d *Driver) watchPeers(now time.Time) {
	if d.VoterTimeout > 0 {
		d.pruneAt = now.Add(d.VoterTimeout)
	}
}

// prune removes a learner, or else a voter, that was silent for DeadAfter while enough others are left. A machine that is gone for good would
// otherwise count against the majority together with the next one that is lost.
func (d *Driver) prune(now time.Time) {
	d.pruneAt = now.Add(pruneEvery)
	if !d.Node.Leading(now) {
		return
	}
	voters := 0
	var dead replicator.ServerID
	learner := false
	peers := d.Node.Peers()
	for _, server := range d.servers {
		if server.Voter {
			voters++
		}
		silent := slices.ContainsFunc(peers, func(peer replicator.PeerStatus) bool {
			return peer.ID == server.ID && now.Sub(peer.Heard) > d.VoterTimeout
		})
		if silent && (dead.IsZero() || !server.Voter) {
			dead, learner = server.ID, !server.Voter
		}
	}
	if dead.IsZero() || !learner && voters <= max(d.MinVoters, 2) {
		return
	}
	d.perform(now, d.Node.Step(now, replicator.RemoveServer{Ticket: pruneTicket, ID: dead}))
}
