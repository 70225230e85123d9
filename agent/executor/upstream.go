package executor

import (
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

func (x *Executor) upstreamUp(e UpstreamUp) {
	changed := x.slots != e.Slots || x.upstream != e.Addr
	x.upstream, x.slots, x.lapse = e.Addr, e.Slots, e.Until
	if changed {
		x.out = append(x.out, Announce{Load: x.Load()})
	}
}

func (x *Executor) upstreamDown() {
	if x.slots == 0 {
		return
	}
	x.slots = 0
	x.refuseQueued(NoUpstream)
	x.out = append(x.out, Announce{Load: x.Load()})
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
	x.out = append(x.out, RecordEvent{recorder.Event{Kind: kind}})
	x.out = append(x.out, Announce{Load: x.Load()})
}

func (x *Executor) refuseQueued(cause Cause) {
	for _, entry := range x.queue.Clear() {
		x.dropTask(entry.TaskKey(), cause)
	}
}

// dropTask refuses a task that the queue no longer holds.
func (x *Executor) dropTask(key specifier.TaskKey, cause Cause) {
	job := x.jobs[key.Job]
	task := job.find(key.Task)
	job.remove(key.Task)
	x.out = append(x.out, Refused{Entry: job.owner, Key: key, Epoch: job.epoch, Cause: cause, Load: x.Load()})
	x.note(recorder.TaskRefused, key.Job, task, job.owner.Name, string(cause))
}
