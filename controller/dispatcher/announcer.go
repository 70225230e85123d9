package dispatcher

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// announcer announces in the log the transient jobs that the leader may start, so that the next leader can tell new jobs from those
// that may be running at an agent that does not answer. A job may start before its announcement is committed, since its caller sends
// it again no sooner than ResendAfter; but then neither a grant nor a start may follow later than announceWithin after it arrived.
type announcer struct {
	waiting  []*job    // not proposed
	proposed []*job    // in the log, not committed
	since    time.Time // arrival of the oldest job that may have started and is not announced; zero for none
	stableAt time.Time // from then on, all jobs that may run have been announced unless the announcements were late
	retryAt  time.Time // when proposals that the log rejected may be repeated
	againAt  time.Time // when the jobs that live on are announced again
	turning  bool      // a change of Announcing is in the log
}

const (
	// clockDrift is the divisor that gives by how much of a span the clocks of agents may be slow: 2%.
	clockDrift = 50
	// announceMargin is for the time between the leader's decision and its effect at an agent.
	announceMargin = 15 * time.Millisecond
	// maxAnnouncedAge is the age up to which a job may start before its announcement is committed.
	maxAnnouncedAge = 25 * time.Millisecond
	// announceOffAfter is how long announcements may be late before the leader goes on without them.
	announceOffAfter = 150 * time.Millisecond
	// announceAgainAfter is how often jobs that live on are announced again. It is less than half the time for which the log remembers them.
	announceAgainAfter = 20 * time.Second
	// announceOnAfter is how long a leader announces all its jobs before later leaders may rely on it. By then the runs of earlier
	// leaders that no job claims have been stopped.
	announceOnAfter = 5 * time.Second
)

// announceWithin returns how long after a job's arrival its announcement must be committed, or 0 if jobs can't be announced in time.
func (s Settings) announceWithin() time.Duration {
	if s.ResendAfter == 0 {
		return 0
	}
	return max(s.ResendAfter-s.GrantSpan-s.GrantSpan/clockDrift-announceMargin, 0)
}

// announces reports whether this leader announces the jobs that it may start.
func (d *Dispatcher) announces() bool { return d.Settings.announceWithin() > maxAnnouncedAge }

// announce announces a job. It reports whether the job may start before the announcement is committed.
func (d *Dispatcher) announce(j *job) bool {
	if !d.announces() {
		return true
	}
	d.announcer.waiting = append(d.announcer.waiting, j)
	early := !d.Recorder.Announcing() || d.now.Sub(j.arrived) <= maxAnnouncedAge
	if early {
		d.announcer.mustCommit(j)
	}
	return early
}

// mustCommit notes that a job may start before its announcement is committed.
func (a *announcer) mustCommit(j *job) {
	if a.since.IsZero() || j.arrived.Before(a.since) {
		a.since = j.arrived
	}
}

// announcementsLate reports whether a job that may have started should have been announced by now. No grant and no start may follow
// until it is, or until the log tells later leaders that jobs may run without an announcement.
func (d *Dispatcher) announcementsLate() bool {
	return d.Recorder.Announcing() && (!d.announces() || d.lateBy(0))
}

func (d *Dispatcher) lateBy(span time.Duration) bool {
	since := d.announcer.since
	return !since.IsZero() && !d.now.Before(since.Add(d.Settings.announceWithin()+span))
}

// proposeAnnouncements proposes the waiting announcements, one batch at a time, and the changes of Announcing.
func (d *Dispatcher) proposeAnnouncements() {
	a := &d.announcer
	if d.now.Before(a.retryAt) {
		return
	}
	if !d.announces() {
		// An earlier leader did; from now on the next one may not rely on it.
		if d.Recorder.Announcing() && !a.turning {
			a.turning = true
			d.propose(specifier.QueueCommand{Announcing: specifier.AnnouncingOff})
		}
		return
	}
	d.announceAgain()
	if len(a.proposed) == 0 && len(a.waiting) > 0 {
		a.proposed, a.waiting = a.waiting, nil
		command := specifier.QueueCommand{}
		for _, j := range a.proposed {
			command.Announced = append(command.Announced, j.ID)
		}
		d.propose(command)
	}
	if d.lateBy(0) && !d.Recorder.Announcing() {
		a.stableAt = d.now.Add(announceOnAfter)
	}
	switch {
	case a.turning:
	case d.Recorder.Announcing() && d.lateBy(announceOffAfter):
		a.turning = true
		d.emit(LogEvent{Event: "AnnouncingOff", Age: d.now.Sub(a.since)})
		d.propose(specifier.QueueCommand{Announcing: specifier.AnnouncingOff})
	case !d.Recorder.Announcing() && d.recoveryUntil.IsZero() && !d.now.Before(a.stableAt):
		a.turning = true
		d.propose(specifier.QueueCommand{Announcing: specifier.AnnouncingOn})
	}
}

// announceAgain announces the jobs that live on, since the log forgets announcements.
func (d *Dispatcher) announceAgain() {
	a := &d.announcer
	if d.now.Before(a.againAt) {
		return
	}
	a.againAt = d.now.Add(announceAgainAfter)
	d.wake(a.againAt, timer{})
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		if j := d.jobs[id]; j.Transient && !j.ended && j.arrived.Before(d.now.Add(-announceAgainAfter)) {
			a.waiting = append(a.waiting, j)
		}
	}
}

// announced handles the commit of an announcement or of a change of Announcing.
func (d *Dispatcher) announced(command specifier.QueueCommand) {
	a := &d.announcer
	if command.Announcing != specifier.AnnouncingUnchanged {
		a.turning = false
		if command.Announcing == specifier.AnnouncingOff {
			a.stableAt = d.now.Add(announceOnAfter)
			d.wake(a.stableAt, timer{})
		}
	}
	if len(command.Announced) == 0 {
		return
	}
	committed := a.proposed
	a.proposed, a.since = nil, time.Time{}
	for _, j := range a.waiting {
		if !j.unannounced {
			a.mustCommit(j)
		}
	}
	for _, j := range committed {
		j.unannounced = false
		d.enqueueUnblocked(j)
	}
}

// announcementRejected puts the announcements that the log did not accept back among the waiting ones.
func (d *Dispatcher) announcementRejected(command specifier.QueueCommand) {
	a := &d.announcer
	if command.Announcing != specifier.AnnouncingUnchanged {
		a.turning = false
	}
	if len(command.Announced) > 0 {
		a.waiting, a.proposed = append(a.proposed, a.waiting...), nil
	}
	a.retryAt = d.now.Add(announceRetryInterval)
	d.wake(a.retryAt, timer{})
}

// announceRetryInterval is how long after the log rejected announcements the next step proposes them again.
const announceRetryInterval = 10 * time.Millisecond
