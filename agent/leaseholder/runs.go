package leaseholder

import (
	"time"

	"oleandertally/core/specifier"
)

// maxLeaseEnd returns the latest lease end, on the worker's clock, that the grant allows now.
func (l *LeaseHolder) maxLeaseEnd() time.Duration {
	left := time.Duration(minClockRate * float64(l.grantEnd.Sub(l.now)))
	return l.clock.minReading(l.now) + min(left, l.MaxLease)
}

// start sends a start to the worker. It refuses the start if there is no grant for a lease, or the worker can't take it.
func (l *LeaseHolder) start(start specifier.RunStart) {
	if l.runs[start.Key] != nil {
		return
	}
	if l.evacuated {
		l.emit(LogEvent{Event: "StartRefused", Task: start.Key.Task, Run: start.Key.Run, Detail: "the zone is evacuated"})
		l.refuse(start.Key, specifier.EndRefusedLate)
		return
	}
	if l.worker == nil || l.worker.Draining || l.leaving || !l.clock.known() || !l.now.Before(l.grantEnd) {
		l.emit(LogEvent{Event: "StartRefused", Task: start.Key.Task, Run: start.Key.Run, Detail: "no grant, or the worker leaves"})
		l.refuse(start.Key, specifier.EndRefusedLate)
		return
	}
	if !l.now.Before(l.answeredAt.Add(workerTimeout)) {
		l.emit(LogEvent{Event: "StartRefused", Task: start.Key.Task, Run: start.Key.Run, Detail: "the worker does not answer", Age: l.now.Sub(l.answeredAt)})
		l.refuse(start.Key, specifier.EndRefusedUnhealthy)
		return
	}
	leaseEnd := l.maxLeaseEnd()
	l.leaseEnd = max(l.leaseEnd, leaseEnd)
	l.runs[start.Key] = &trackedRun{LeasedRun: specifier.LeasedRun{Key: start.Key, Resources: start.Resources, Checkpoint: start.Checkpoint}, leaseEnd: leaseEnd}
	l.emit(Start{Start: start, Token: l.workerToken(), LeaseEnd: leaseEnd, WorkerID: l.worker.ID})
}

func (l *LeaseHolder) refuse(key specifier.RunKey, kind specifier.EndKind) {
	l.report(specifier.LeaseReport{RefusedStarts: []specifier.RunEnd{{Key: key, Kind: kind}}})
}

// started handles the answer to a start.
func (l *LeaseHolder) started(event Started) {
	if !l.accept(event.Answer) {
		event.Lost = true
	}
	run := l.runs[event.Key]
	if run == nil || run.state == runRunning {
		return
	}
	switch {
	case event.Lost:
		run.state = runUnanswered
		l.emit(LogEvent{Event: "StartUnanswered", Task: event.Key.Task, Run: event.Key.Run, Age: l.now.Sub(event.CalledAt)})
		l.pollSoon()
	case event.Refused:
		delete(l.runs, event.Key)
		l.emit(LogEvent{Event: "StartRefused", Task: event.Key.Task, Run: event.Key.Run, Detail: event.Kind.String()})
		l.refuse(event.Key, event.Kind)
	default:
		run.state, run.confirmedAt = runRunning, l.now
		if run.stopping {
			l.stop(run)
		}
	}
}

// stop sends a stop to the worker, unless the start is still under way. The stop is repeated until the worker lists the
// run's end.
func (l *LeaseHolder) stop(run *trackedRun) {
	run.stopping, run.stopRetryAt = true, time.Time{}
	if run.state == runStarting {
		return
	}
	l.emit(Stop{Key: run.Key, Token: l.workerToken(), WorkerID: l.WorkerID()})
}

// stopped handles the answer to a stop. The run can't start any more after a stop, and a poll shows whether it had started.
func (l *LeaseHolder) stopped(event Stopped) {
	accepted := l.accept(event.Answer)
	run := l.runs[event.Key]
	if run == nil {
		return
	}
	run.stopRetryAt = l.now.Add(retryInterval)
	if !accepted || event.Refused || event.OtherIncarnation {
		return
	}
	run.stoppedAt = l.now
	if run.state == runUnanswered {
		run.stopRetryAt = time.Time{} // it can't start any more, and the next lists tell whether it has
	}
	l.pollSoon()
}

// pollSoon polls the worker immediately, or once the immediate poll that is under way has ended: a poll for each of many unanswered starts
// would overload the worker.
func (l *LeaseHolder) pollSoon() {
	if l.immediatePolls > 0 {
		l.pollAgain = true
		return
	}
	l.pollNow()
}

// pollNow polls the worker immediately, without extending its leases.
func (l *LeaseHolder) pollNow() {
	l.immediatePolls++
	l.emit(Poll{Token: l.workerToken(), Acknowledged: l.acknowledged, Immediate: true, WorkerID: l.WorkerID()})
}
