package executor

import (
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

func (x *Executor) upstreamUp(e UpstreamUp) {
	changed := x.slots != e.Slots || x.upstream != e.Addr
	x.upstream, x.slots, x.upstreamUntil = e.Addr, e.Slots, e.Until
	if changed {
		x.actions = append(x.actions, Announce{Load: x.Load()})
	}
}

func (x *Executor) upstreamDown() {
	if x.slots == 0 {
		return
	}
	x.slots = 0
	x.refuseQueued(NoUpstream)
	x.actions = append(x.actions, Announce{Load: x.Load()})
}

func (x *Executor) drain(on bool) {
	if x.draining == on {
		return
	}
	x.draining = on
	kind := recorder.MemberResumed
	if on {
		kind = recorder.MemberDraining
		x.refuseQueued(Drain)
	}
	x.actions = append(x.actions, RecordEvent{recorder.Event{Kind: kind}})
	x.actions = append(x.actions, Announce{Load: x.Load()})
}

func (x *Executor) refuseQueued(cause Cause) {
	for _, queued := range x.queue.Clear() {
		x.dropTask(queued.TaskKey(), cause)
	}
}

// dropTask refuses a task that was removed from the queue.
func (x *Executor) dropTask(key specifier.TaskKey, cause Cause) {
	job := x.jobs[key.Job]
	task := job.find(key.Task)
	job.remove(key.Task)
	x.actions = append(x.actions, Refused{Entry: job.owner, Key: key, Epoch: job.epoch, Cause: cause, Load: x.Load()})
	x.recordEvent(recorder.TaskRefused, key.Job, task, job.owner.Name, string(cause))
}
