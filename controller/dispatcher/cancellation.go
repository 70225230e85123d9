package dispatcher

import "oleandertally/core/specifier"

// cancel cancels a transient job immediately. The cancellation of a recorded job is proposed, and the reply follows when it is committed.
func (d *Dispatcher) cancel(from waiter, call specifier.QueueCall, t target) {
	record, j := t.record, t.job
	switch {
	case !t.knowsJob():
		d.denyJob(from, call, t.queue)
	case j != nil && j.Transient:
		d.stopRuns(j)
		d.finish(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobCancelled})
		d.reply(from, t.cancellationReply(specifier.JobCancelled))
	case record != nil && record.State.Ended() || j == nil:
		d.reply(from, t.cancellationReply(record.State))
	case t.queueFound:
		j.waiters = append(j.waiters, from)
		d.calls[from] = j
		d.proposeCancellation(j)
	default:
		j.removedQueueWaiters = append(j.removedQueueWaiters, from)
		d.proposeCancellation(j)
	}
}

// proposeCancellation proposes to cancel a recorded job, none of whose tasks is started meanwhile.
func (d *Dispatcher) proposeCancellation(j *job) {
	j.cancelled = true
	d.dequeueJob(j)
	d.propose(specifier.QueueCommand{Cancel: j.ID})
}

// queueRemoved is the reply to a cancellation by the path of a queue that was removed, once nothing of the job can start any more.
var queueRemoved = specifier.QueueReply{Result: specifier.JobNotFound, Detail: "the queue was removed, and the job is not running"}

// cancellationReply is the reply to the cancellation of a job that is in the given state. A removed queue must not answer with success.
func (t target) cancellationReply(state specifier.QueueState) specifier.QueueReply {
	if !t.queueFound {
		return queueRemoved
	}
	return specifier.QueueReply{Result: specifier.QueueOK, State: state}
}

// answerInRemovedQueue answers the waiting cancellations that came by the path of a removed queue.
func (d *Dispatcher) answerInRemovedQueue(j *job, reply specifier.QueueReply) {
	for _, from := range j.removedQueueWaiters {
		d.reply(from, reply)
	}
	j.removedQueueWaiters = nil
}
