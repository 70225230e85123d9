package leaseholder

import (
	"time"

	"oleandertally/core/specifier"
)

// lease returns the end, on the worker's clock, of the longest lease that the grant allows now.
func (l *LeaseHolder) lease() time.Duration {
	left := time.Duration(slowest * float64(l.grantEnd.Sub(l.now)))
	return l.clock.least(l.now) + min(left, l.MaxLease)
}

// start passes a start on to the worker, unless its lease would be in vain.
func (l *LeaseHolder) start(start specifier.RunStart) {
	if l.runs[start.Key] != nil {
		return
	}
	if l.worker == nil || l.worker.Draining || l.leaving || !l.clock.known() || !l.now.Before(l.grantEnd) {
		l.emit(LogEvent{Event: "StartRefused", Task: start.Key.Task, Run: start.Key.Run, Detail: "no grant, or the worker leaves"})
		l.refuse(start.Key, specifier.EndRefusedLate)
		return
	}
	if !l.now.Before(l.answered.Add(looksOnly)) {
		l.emit(LogEvent{Event: "StartRefused", Task: start.Key.Task, Run: start.Key.Run, Detail: "the worker does not answer", Age: l.now.Sub(l.answered)})
		l.refuse(start.Key, specifier.EndRefusedSick)
		return
	}
	until := l.lease()
	l.until = max(l.until, until)
	l.runs[start.Key] = &heldRun{LeasedRun: specifier.LeasedRun{Key: start.Key, Resources: start.Resources, Saved: start.Saved}, until: until}
	l.emit(Start{Start: start, Token: l.workerToken(), LeaseEnd: until, WorkerID: l.worker.ID})
}

func (l *LeaseHolder) refuse(key specifier.RunKey, how specifier.EndKind) {
	l.report(specifier.LeaseReport{Refused: []specifier.RunEnd{{Key: key, How: how}}})
}

// started handles the answer to a start.
func (l *LeaseHolder) started(event Started) {
	if !l.meet(event.Answer) {
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
		l.look()
	case event.Refused:
		delete(l.runs, event.Key)
		l.emit(LogEvent{Event: "StartRefused", Task: event.Key.Task, Run: event.Key.Run, Detail: event.Kind.String()})
		l.refuse(event.Key, event.Kind)
	default:
		run.state, run.confirmed = runRunning, l.now
		if run.stopping {
			l.stop(run)
		}
	}
}

// stop passes a stop on to the worker. It is repeated until the run's end is listed.
func (l *LeaseHolder) stop(run *heldRun) {
	run.stopping, run.stopAgain = true, time.Time{}
	if run.state == runStarting {
		return
	}
	l.emit(Stop{Key: run.Key, Token: l.workerToken(), WorkerID: l.WorkerID()})
}

// stopped handles the answer to a stop. After it the run can't start any more, and a look shows whether it did.
func (l *LeaseHolder) stopped(event Stopped) {
	met := l.meet(event.Answer)
	run := l.runs[event.Key]
	if run == nil {
		return
	}
	run.stopAgain = l.now.Add(holdAgain)
	if !met || event.Refused || event.OtherIncarnation {
		return
	}
	run.stopped = l.now
	l.look()
}

// look asks the worker at once what it runs.
func (l *LeaseHolder) look() {
	l.emit(Poll{Token: l.workerToken(), Acknowledged: l.noted, Immediate: true, WorkerID: l.WorkerID()})
}
