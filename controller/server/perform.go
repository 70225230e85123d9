package server

import (
	"oleandertally/controller/driver"
	"oleandertally/controller/sequencer"
	"oleandertally/core/encoder"
	"oleandertally/state/replicator"
)

// perform carries out an action of the control loop. It runs on the control goroutine and does not block.
func (c *Controller) perform(action driver.Action) {
	switch {
	case action.Joined != nil:
		c.joins.answer(uint64(action.Joined.Ticket), *action.Joined)
	case action.Read != nil:
		c.operators.reads.answer(action.Read.Ticket, *action.Read)
	case action.LeadershipTransferred != nil:
		c.transfers.answer(action.LeadershipTransferred.Ticket, *action.LeadershipTransferred)
	case action.Measured != nil:
		c.measures.answer(action.Measured.Ticket, *action.Measured)
	case action.Batched > 0:
		c.Metrics.Batched(action.Batched)
	}
	c.performQueue(action.Queue)
	switch control := action.Control.(type) {
	case sequencer.Decide:
		c.Metrics.Decided(control.Decision.Verdict)
		if control.Stream == operatorStream {
			c.operators.decisions.answer(control.Sequence, control.Decision)
			break
		}
		c.registry.proposers.put(control.Stream, &encoder.Verdict{Sequence: control.Sequence, Decision: encoder.EncodeDecision(control.Decision)})
	case sequencer.RecordEvent:
		c.Events.Add(control.Event)
	case sequencer.Push:
		c.registry.sessions.put(control.Stream, control.Update)
	}
	switch log := action.Log.(type) {
	case replicator.Persist:
		if log.State.Vote == c.machine.Node.Self {
			c.Metrics.ElectionStarted()
		}
		c.disk.queue.Put(action)
	case replicator.Append, replicator.Truncate, replicator.Compact, replicator.Restore:
		c.disk.queue.Put(action)
	case replicator.SaveSnapshot:
		c.disk.saves.Put(action)
	case replicator.Send:
		c.peers.send(log.Envelope)
	case replicator.SendSnapshot:
		c.peers.sendSnapshot(log)
	case replicator.MembershipChanged:
		c.peers.servers = log.Servers
		c.queues.setServers(log.Servers)
	case replicator.BecameLeader:
		c.Health.SetMet(leaderKnown)
		c.queues.setLeader(true, c.Addr)
		c.Log.Info().Str("Event", "BecameLeader").Uint64("Term", uint64(log.Term)).Msg("this controller leads")
	case replicator.BecameFollower:
		c.queues.setLeader(false, c.queues.addrOf(log.Leader))
		c.logFollower(log)
	}
}
