package leaseholder

import "oleandertally/core/specifier"

// listIsLate reports whether a list may be older than the newest one, which has overtaken it. Ends are numbered, so that they can be added all
// the same.
func (l *LeaseHolder) listIsLate(result PollResult) bool {
	return result.CalledAt.Before(l.listedAt) && result.Clock <= l.listedClock
}

// listed applies the newest list of the worker's runs.
func (l *LeaseHolder) listed(result PollResult) {
	l.listedAt, l.listedClock = l.now, result.Clock
	l.polledToken = max(l.polledToken, result.Token)
	if cut := result.Completeness == ListCut; cut != l.endsCut {
		l.endsCut = cut
		l.logCut(len(result.Ends))
	}
	l.endsListed = l.endsListed || !l.endsCut
	l.compareRuns(result)
}

// logCut logs that the lists of ends have begun or ceased to be cut. Until they cease, nothing is concluded from runs that are not listed.
func (l *LeaseHolder) logCut(listed int) {
	event := "EndsCut"
	if !l.endsCut {
		event = "EndsListed"
	}
	l.emit(LogEvent{Event: event, Detail: l.WorkerID(), Count: listed})
}

// addEnds records the ends that were not listed before, and returns them.
func (l *LeaseHolder) addEnds(ends []specifier.RunEnd) []specifier.RunEnd {
	var added []specifier.RunEnd
	for _, end := range ends {
		if end.Number <= l.lastListed {
			continue
		}
		if end.Number-l.lastListed > maxEndGap {
			l.emit(LogEvent{Event: "EndIgnored", Task: end.Key.Task, Run: end.Key.Run, Detail: "its number is out of range"})
			continue
		}
		l.lastListed = end.Number
		added = append(added, end)
		delete(l.runs, end.Key)
	}
	l.ends = append(l.ends, added...)
	return added
}

// compareRuns updates the agent's runs to match those that the worker lists.
func (l *LeaseHolder) compareRuns(result PollResult) {
	listed := make(map[specifier.RunKey]bool, len(result.Runs))
	for _, each := range result.Runs {
		listed[each.Key] = true
		run := l.runs[each.Key]
		if run == nil {
			if l.endedBefore(each.Key) {
				continue
			}
			run = &trackedRun{LeasedRun: each, confirmedAt: result.CalledAt}
			l.runs[each.Key] = run
			l.emit(LogEvent{Event: "RunFound", Task: each.Key.Task, Run: each.Key.Run})
		}
		run.Checkpoint = each.Checkpoint
		if run.state != runRunning {
			run.state, run.confirmedAt = runRunning, l.now
			if run.stopping && run.stopRetryAt.IsZero() {
				l.stop(run)
			}
		}
	}
	for _, run := range l.sorted() {
		if !listed[run.Key] {
			l.runNotListed(run, result)
		}
	}
}

// endedBefore reports whether the worker has already listed an end of the run: a delayed list may still contain the run.
func (l *LeaseHolder) endedBefore(key specifier.RunKey) bool {
	for _, end := range l.ends {
		if end.Key == key {
			return true
		}
	}
	return false
}

// runNotListed handles a run that the worker did not list. While the list of ends is cut, the run may have ended as done.
func (l *LeaseHolder) runNotListed(run *trackedRun, result PollResult) {
	switch run.state {
	case runRunning:
		if result.Completeness == ListComplete && run.confirmedAt.Before(result.CalledAt) {
			l.drop(run, specifier.EndLeaseExpired)
		}
	case runUnanswered:
		cannotStart := !run.stoppedAt.IsZero() && run.stoppedAt.Before(result.CalledAt) || result.Clock > run.leaseEnd
		if cannotStart && result.Completeness != ListCut {
			l.drop(run, specifier.EndUnanswered)
		} else if !run.stopping {
			l.stop(run)
		}
	}
}

// drop deletes a run for which the worker has listed no end, and reports it to the controller.
func (l *LeaseHolder) drop(run *trackedRun, kind specifier.EndKind) {
	delete(l.runs, run.Key)
	l.emit(LogEvent{Event: "RunGone", Task: run.Key.Task, Run: run.Key.Run, Detail: kind.String()})
	l.refuse(run.Key, kind)
}
