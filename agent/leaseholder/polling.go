package leaseholder

import (
	"time"

	"oleandertally/core/specifier"
)

// mayPoll reports whether a controller has sent its token, without which the worker carries out no call. The worker need not
// have announced itself: after a restart of the agent, the leases would end before the next announcement.
func (l *LeaseHolder) mayPoll() bool { return l.token > 0 }

// poll asks the worker for its runs and extends their leases, at most to the end of the grant.
func (l *LeaseHolder) poll() {
	poll := Poll{Token: l.workerToken(), Acknowledged: l.acknowledged, Wait: pollWait, WorkerID: l.WorkerID()}
	if !l.clock.known() || len(l.ends) > 0 {
		poll.Wait = 0
	}
	if l.clock.known() && l.now.Before(l.grantEnd) && l.now.Before(l.answeredAt.Add(workerTimeout)) {
		poll.LeaseEnd = l.maxLeaseEnd()
		l.leaseEnd = max(l.leaseEnd, poll.LeaseEnd)
	}
	l.polling, l.pausedUntil = true, time.Time{}
	l.emit(poll)
}

// pollAnswered applies the result of a poll, and sends the immediate poll that has waited for it.
func (l *LeaseHolder) pollAnswered(result PollResult) {
	if result.Immediate {
		l.immediatePolls--
	} else {
		l.polling = false
		l.pollAt = l.now
	}
	l.applyPoll(result)
	if l.pollAgain && l.immediatePolls <= 0 {
		l.pollAgain = false
		l.pollNow()
	}
	if !result.Immediate {
		l.identify() // an earlier attempt may have had no conclusive answer
	}
}

// applyPoll applies the result of a poll.
func (l *LeaseHolder) applyPoll(result PollResult) {
	if !l.accept(result.Answer) || result.Refused || result.OtherIncarnation {
		if !result.Immediate {
			if l.failedPolls++; l.failedPolls >= maxFailedPolls {
				l.pollAt = l.now.Add(retryInterval)
			}
			if l.now.After(l.answeredAt.Add(unreachableTimeout)) {
				l.pollAt = l.now.Add(unreachableRetryInterval)
			}
		} else {
			l.stopUnanswered(result.CalledAt)
		}
		return
	}
	l.answeredAt, l.failedPolls = l.now, 0
	known, late := l.runsListed(), l.listIsLate(result)
	newEnds := l.addEnds(result.Ends)
	// The ends are reported before the list of runs: a run that is not listed and has no end would be started again.
	if len(newEnds) > 0 {
		l.report(specifier.LeaseReport{Ends: newEnds})
	}
	if !late {
		l.listed(result)
	}
	if !known && l.runsListed() {
		l.reportListed()
	}
	if len(l.ends) > 0 && !result.Immediate {
		l.pausedUntil = l.now.Add(acknowledgeTimeout)
		l.pollAt = l.pausedUntil
	}
}

// workerRestarted drops the runs, the ends and the clock of an earlier incarnation of the worker.
func (l *LeaseHolder) workerRestarted(startedAt time.Time) {
	if !l.startedAt.IsZero() {
		l.emit(LogEvent{Event: "WorkerReborn", Detail: l.WorkerID(), Count: len(l.runs)})
	}
	l.startedAt, l.startSeenAt = startedAt, l.now
	l.incarnations++
	l.restartLeaseEnd = l.now.Add(time.Duration(float64(l.MaxLease)/minClockRate) + maxStartTime)
	l.ends, l.lastListed, l.acknowledged, l.leaseEnd = nil, 0, 0, 0
	l.endsCut, l.endsListed = false, false
	l.listedAt, l.listedClock = time.Time{}, 0
	l.clock = workerClock{}
	for key, run := range l.runs {
		if run.state == runRunning {
			delete(l.runs, key)
		}
	}
	if l.worker != nil && !l.worker.StartedAt.Equal(startedAt) {
		// The new incarnation may be of another kind: it gets no work before it has announced itself.
		next := *l.worker
		next.StartedAt, next.Draining = startedAt, true
		l.worker, l.sequence, l.workerChanged = &next, 0, true
		l.renewIfConnected()
	}
	if l.token > 0 {
		l.pollNow()
	}
}

// accept applies the clock reading of an answer and detects a restart of the worker. It reports whether there was an answer
// and whether it came from the newest incarnation. Starts are times of day, which may step, so their order tells nothing: an answer with
// another start is newer if its call was made after the present start was seen, and has been overtaken otherwise.
func (l *LeaseHolder) accept(answer Answer) bool {
	if answer.Lost {
		return false
	}
	if !answer.StartedAt.IsZero() && !answer.StartedAt.Equal(l.startedAt) {
		if answer.CalledAt.Before(l.startSeenAt) {
			return false
		}
		l.workerRestarted(answer.StartedAt)
	}
	l.clock.read(answer.Clock, l.now)
	return true
}

// stopUnanswered stops the runs whose start was not answered. It is called when an immediate poll has no answer either.
func (l *LeaseHolder) stopUnanswered(calledAt time.Time) {
	for _, run := range l.sorted() {
		if run.state == runUnanswered && !run.stopping {
			l.stop(run)
		}
	}
}

// leasesEndAt returns when every lease that was requested has certainly ended, or zero if there are no runs other than those
// whose start is still under way, or the worker's clock is unknown. Each answer of the worker postpones this time.
func (l *LeaseHolder) leasesEndAt() time.Time {
	leased := false
	for _, run := range l.runs {
		leased = leased || run.state != runStarting
	}
	if !leased || !l.clock.known() {
		return time.Time{}
	}
	return later(later(l.clock.reachedBy(l.leaseEnd).Add(lapseMargin), l.answeredAt.Add(workerTimeout)), l.restartLeaseEnd)
}

// leasesEnded drops every run, except those whose start is still under way: the leases have ended.
func (l *LeaseHolder) leasesEnded() {
	l.emit(LogEvent{Event: "LeasesEnded", Age: l.now.Sub(l.answeredAt), Count: len(l.runs)})
	for _, run := range l.sorted() {
		if run.state != runStarting {
			l.drop(run, specifier.EndLeaseExpired)
		}
	}
}
