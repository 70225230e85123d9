package leaseholder

import (
	"time"

	"oleandertally/core/specifier"
)

// mayHold reports whether a controller has told its term, without which the worker does nothing. The worker itself need not
// have announced itself: after a restart of the agent its leases would end before it does.
func (l *LeaseHolder) mayHold() bool { return l.token > 0 }

// hold extends the leases as far as the grant allows.
func (l *LeaseHolder) hold() {
	hold := Poll{Token: l.workerToken(), Acknowledged: l.noted, Wait: holdWait, WorkerID: l.WorkerID()}
	if !l.clock.known() || len(l.ends) > 0 {
		hold.Wait = 0
	}
	if l.clock.known() && l.now.Before(l.grantEnd) && l.now.Before(l.answered.Add(looksOnly)) {
		hold.LeaseEnd = l.lease()
		l.until = max(l.until, hold.LeaseEnd)
	}
	l.holding, l.pause = true, time.Time{}
	l.emit(hold)
}

// held takes over what the worker lists.
func (l *LeaseHolder) held(event PollResult) {
	if !event.Immediate {
		l.holding = false
		l.holdAt = l.now
	}
	if !l.meet(event.Answer) || event.Refused || event.OtherIncarnation {
		if !event.Immediate {
			if l.unheld++; l.unheld >= holdsAtOnce {
				l.holdAt = l.now.Add(holdAgain)
			}
			if l.now.After(l.answered.Add(silentAfter)) {
				l.holdAt = l.now.Add(silentAgain)
			}
		} else {
			l.stopUnanswered(event.CalledAt)
		}
		return
	}
	l.answered, l.unheld = l.now, 0
	settles := event.Token == l.workerToken() && l.heldWith != event.Token
	l.heldWith = max(l.heldWith, event.Token)
	fresh := l.takeEnds(event.Ends)
	// Ends come before the list: a run that is not listed and has no end would be started again.
	if len(fresh) > 0 {
		l.report(specifier.LeaseReport{Ends: fresh})
	}
	l.takeRuns(event)
	if settles {
		l.tell()
	}
	if len(l.ends) > 0 && !event.Immediate {
		l.pause = l.now.Add(noteWithin)
		l.holdAt = l.pause
	}
}

// reborn forgets what an earlier life of the worker ran.
func (l *LeaseHolder) reborn(born time.Time) {
	if !l.born.IsZero() {
		l.emit(LogEvent{Event: "WorkerReborn", Detail: l.WorkerID(), Count: len(l.runs)})
	}
	l.born = born
	l.lives++
	l.floor = l.now.Add(time.Duration(float64(l.MaxLease)/slowest) + startMost)
	l.ends, l.seen, l.noted, l.until = nil, 0, 0, 0
	l.clock = workerClock{}
	for key, run := range l.runs {
		if run.state == runRunning {
			delete(l.runs, key)
		}
	}
	if l.worker != nil && !l.worker.Born.Equal(born) {
		// The new life may be of another kind: it is used once it has announced itself.
		next := *l.worker
		next.Born, next.Draining = born, true
		l.worker, l.sequence, l.changed = &next, 0, true
		l.tell()
	}
	if l.token > 0 {
		l.look()
	}
}

// meet takes over the clock of an answer and notices a new life of the worker. It reports whether there was an answer, and of the
// newest life.
func (l *LeaseHolder) meet(answer Answer) bool {
	if answer.Lost || answer.StartedAt.Before(l.born) && !answer.StartedAt.IsZero() {
		return false
	}
	if !answer.StartedAt.IsZero() && !answer.StartedAt.Equal(l.born) {
		l.reborn(answer.StartedAt)
	}
	l.clock.read(answer.Clock, l.now)
	return true
}

// takeEnds returns the ends that were not listed before.
func (l *LeaseHolder) takeEnds(ends []specifier.RunEnd) []specifier.RunEnd {
	var fresh []specifier.RunEnd
	for _, end := range ends {
		if end.Number <= l.seen {
			continue
		}
		l.seen = end.Number
		fresh = append(fresh, end)
		delete(l.runs, end.Key)
	}
	l.ends = append(l.ends, fresh...)
	return fresh
}

// takeRuns compares what runs at the worker with what the agent holds.
func (l *LeaseHolder) takeRuns(event PollResult) {
	listed := make(map[specifier.RunKey]bool, len(event.Runs))
	for _, each := range event.Runs {
		listed[each.Key] = true
		run := l.runs[each.Key]
		if run == nil {
			if l.endedBefore(each.Key) {
				continue
			}
			run = &heldRun{LeasedRun: each, confirmed: event.CalledAt}
			l.runs[each.Key] = run
			l.emit(LogEvent{Event: "RunFound", Task: each.Key.Task, Run: each.Key.Run})
		}
		run.Saved = each.Saved
		if run.state != runRunning {
			run.state, run.confirmed = runRunning, l.now
			if run.stopping && run.stopAgain.IsZero() {
				l.stop(run)
			}
		}
	}
	for _, run := range l.sorted() {
		if !listed[run.Key] {
			l.missing(run, event)
		}
	}
}

// endedBefore reports whether an end of the run is already listed: a list that was delayed may still show it.
func (l *LeaseHolder) endedBefore(key specifier.RunKey) bool {
	for _, end := range l.ends {
		if end.Key == key {
			return true
		}
	}
	return false
}

// missing handles a run that the worker did not list.
func (l *LeaseHolder) missing(run *heldRun, event PollResult) {
	switch run.state {
	case runRunning:
		if event.EndsComplete && run.confirmed.Before(event.CalledAt) {
			l.drop(run, specifier.EndLapsed)
		}
	case runUnanswered:
		if !run.stopped.IsZero() && run.stopped.Before(event.CalledAt) || event.Clock > run.until {
			l.drop(run, specifier.EndUnanswered)
		} else if !run.stopping {
			l.stop(run)
		}
	}
}

// stopUnanswered stops runs that a look without an answer did not tell of.
func (l *LeaseHolder) stopUnanswered(asked time.Time) {
	for _, run := range l.sorted() {
		if run.state == runUnanswered && !run.stopping {
			l.stop(run)
		}
	}
}

// drop forgets a run that is gone without an end.
func (l *LeaseHolder) drop(run *heldRun, how specifier.EndKind) {
	delete(l.runs, run.Key)
	l.emit(LogEvent{Event: "RunGone", Task: run.Key.Task, Run: run.Key.Run, Detail: how.String()})
	l.refuse(run.Key, how)
}

// lapse returns when every lease that was asked for has ended for sure, or zero while the worker answers.
func (l *LeaseHolder) lapse() time.Time {
	waiting := false
	for _, run := range l.runs {
		waiting = waiting || run.state != runStarting
	}
	if !waiting || !l.clock.known() {
		return time.Time{}
	}
	return later(later(l.clock.surely(l.until).Add(lapseMargin), l.answered.Add(looksOnly)), l.floor)
}

// lapsed drops every run: their leases have ended.
func (l *LeaseHolder) lapsed() {
	l.emit(LogEvent{Event: "LeasesEnded", Age: l.now.Sub(l.answered), Count: len(l.runs)})
	for _, run := range l.sorted() {
		if run.state != runStarting {
			l.drop(run, specifier.EndLapsed)
		}
	}
}
