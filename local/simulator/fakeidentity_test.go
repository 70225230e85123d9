package simulator

import (
	"fmt"
	"time"

	"oleandertally/agent/leaseholder"
	"oleandertally/core/specifier"
)

// describe returns the worker as it announces itself.
func (f *fakeWorker) describe() specifier.LeasedWorker {
	return specifier.LeasedWorker{ID: f.id(), StartedAt: f.startedAt, Pool: poolName, Capacity: specifier.Resources{MilliCores: workerCores, Memory: 1 << 20}}
}

// id returns the worker's ID. Every third incarnation has a new one.
func (f *fakeWorker) id() string { return fmt.Sprintf("%s-worker-%d", f.name, f.incarnation/3) }

// announceRepeatedly repeats the worker's announcement while the incarnation is up.
func (f *fakeWorker) announceRepeatedly(incarnation int) {
	if !f.up || f.incarnation != incarnation {
		return
	}
	f.announce()
	f.world.after(announceInterval, func() { f.announceRepeatedly(incarnation) })
}

// isOther reports whether a call is meant for a worker with another ID.
func (f *fakeWorker) isOther(id string) bool { return id != "" && id != f.id() }

// identify tells the incarnation, or that another worker was called. Some answers are lost.
func (f *fakeWorker) identify(call leaseholder.Identify, answer func(leaseholder.Event)) {
	calledAt, lost := f.world.now, f.world.faultsEnabled && f.random.IntN(10) == 0
	delay := func() time.Duration { return time.Duration(f.random.Int64N(int64(2 * time.Millisecond))) }
	f.world.after(delay(), func() {
		if !f.up || lost {
			f.world.after(callTimeout, func() { answer(leaseholder.Identified{Answer: leaseholder.Answer{CalledAt: calledAt, Lost: true}}) })
			return
		}
		identity := f.answer(calledAt)
		identity.OtherIncarnation = f.isOther(call.WorkerID)
		f.world.after(delay(), func() { answer(leaseholder.Identified{Answer: identity}) })
	})
}
