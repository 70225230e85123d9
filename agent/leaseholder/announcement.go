package leaseholder

import (
	"slices"
	"time"
)

// announcement is an announcement of the worker about itself, as of its arrival.
type announcement struct {
	Announced
	coldUntil time.Time // when the worker reaches its full speed
	expiresAt time.Time // when it is dropped if the worker has neither confirmed nor refuted it; the worker repeats its own
}

// sameIncarnation reports whether two announcements name the same incarnation of the same worker.
func (a *announcement) sameIncarnation(other Announced) bool {
	return a.Worker.ID == other.Worker.ID && a.Worker.StartedAt.Equal(other.Worker.StartedAt)
}

// announced applies an announcement of the incarnation that the worker has confirmed, unless it is late. One of another incarnation may come
// from another writer or have been delayed, so the worker is asked first.
func (l *LeaseHolder) announced(event Announced) {
	arrived := announcement{Announced: event, coldUntil: l.now.Add(event.Worker.ColdFor), expiresAt: l.now.Add(confirmationTimeout)}
	switch {
	case l.worker == nil || !arrived.sameIncarnation(Announced{Worker: *l.worker}):
		l.awaitConfirmation(arrived)
	case event.Sequence > l.sequence || !l.now.Before(l.sequenceUntil):
		l.describe(arrived)
	}
}

// describe stores what the worker says of itself.
func (l *LeaseHolder) describe(latest announcement) {
	worker := latest.Worker
	if l.worker == nil || l.worker.Draining != worker.Draining {
		l.workerChanged = true
	}
	l.worker, l.coldUntil = &worker, latest.coldUntil
	l.sequence, l.sequenceUntil = latest.Sequence, l.now.Add(sequenceTimeout)
	if l.workerChanged {
		l.renewIfConnected()
	}
}

// awaitConfirmation keeps an announcement until the worker has confirmed or refuted its incarnation.
func (l *LeaseHolder) awaitConfirmation(arrived announcement) {
	l.dropExpired()
	at := slices.IndexFunc(l.unconfirmed, func(each announcement) bool { return each.sameIncarnation(arrived.Announced) })
	switch {
	case at >= 0 && arrived.Sequence > l.unconfirmed[at].Sequence:
		l.unconfirmed[at] = arrived
	case at < 0 && len(l.unconfirmed) < maxUnconfirmed:
		l.unconfirmed = append(l.unconfirmed, arrived)
	case at < 0:
		l.emit(LogEvent{Event: "AnnouncementIgnored", Detail: arrived.Worker.ID, Count: len(l.unconfirmed)})
	}
	l.identify()
}

// dropExpired drops the announcements that have waited for too long, unless the worker is being asked for one of them.
func (l *LeaseHolder) dropExpired() {
	if !l.identifying {
		l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(each announcement) bool { return !l.now.Before(each.expiresAt) })
	}
}

// identify asks the worker whether it is the first of the unconfirmed incarnations.
func (l *LeaseHolder) identify() {
	l.dropExpired()
	if l.identifying || len(l.unconfirmed) == 0 || !l.mayPoll() {
		return
	}
	l.identifying = true
	l.emit(Identify{WorkerID: l.unconfirmed[0].Worker.ID, Token: l.workerToken()})
}

// identified applies the first unconfirmed announcement if the worker is that incarnation, and drops it if it is another one. Without a
// conclusive answer, the announcement goes to the end of the queue, and the worker is asked again after the next poll.
func (l *LeaseHolder) identified(answer Answer) {
	if !l.identifying {
		return
	}
	l.identifying = false
	first := l.unconfirmed[0]
	l.unconfirmed = l.unconfirmed[1:]
	if !l.accept(answer) || answer.StartedAt.IsZero() && !answer.OtherIncarnation {
		l.unconfirmed = append(l.unconfirmed, first)
		l.reportIfListed()
		return
	}
	if !answer.OtherIncarnation && first.Worker.StartedAt.Equal(answer.StartedAt) {
		l.confirmed(first)
	} else {
		l.emit(LogEvent{Event: "AnnouncementRefuted", Detail: first.Worker.ID})
	}
	l.identify()
	l.reportIfListed()
}

// reportListed reports that all runs are known, together with the worker if it is being identified: to an agent that has no runs and no
// worker, the leader would have to give its place in the log again right after it has dismissed it.
func (l *LeaseHolder) reportListed() {
	l.listedUnreported = true
	l.reportIfListed()
}

// reportIfListed sends the report that reportListed has held back.
func (l *LeaseHolder) reportIfListed() {
	if l.listedUnreported && !l.identifying {
		l.renewIfConnected()
	}
}

// confirmed makes an announced incarnation the agent's worker.
func (l *LeaseHolder) confirmed(first announcement) {
	l.emit(LogEvent{Event: "WorkerAnnounced", Detail: first.Worker.ID})
	l.answeredAt = l.now
	l.workerChanged = true
	l.describe(first)
}

// renewIfConnected reports a change of the worker without waiting for the next renewal.
func (l *LeaseHolder) renewIfConnected() {
	if l.connected {
		l.renew()
	}
}

// departed marks the worker as draining, since it has announced that it terminates. Its runs terminate with it.
func (l *LeaseHolder) departed(id string) {
	for i := range l.unconfirmed {
		if l.unconfirmed[i].Worker.ID == id {
			l.unconfirmed[i].Worker.Draining = true
		}
	}
	if l.worker == nil || l.worker.ID != id {
		return
	}
	l.emit(LogEvent{Event: "WorkerDeparted", Detail: id, Count: len(l.runs)})
	departed := *l.worker
	departed.Draining = true
	l.worker, l.workerChanged = &departed, true
	l.renewIfConnected()
}
