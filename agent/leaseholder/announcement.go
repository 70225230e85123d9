package leaseholder

// announced applies an announcement of the worker. Those of an earlier incarnation, and late ones, are ignored.
func (l *LeaseHolder) announced(event Announced) {
	worker := event.Worker
	if known := l.worker; known != nil {
		older := worker.StartedAt.Before(known.StartedAt) || worker.StartedAt.Before(l.startedAt)
		if older || worker.ID == known.ID && worker.StartedAt.Equal(known.StartedAt) && event.Sequence <= l.sequence {
			return
		}
	}
	first := l.worker == nil || l.worker.ID != worker.ID || !l.worker.StartedAt.Equal(worker.StartedAt)
	draining := l.worker != nil && l.worker.Draining
	l.worker, l.sequence = &worker, event.Sequence
	l.coldUntil = l.now.Add(worker.ColdFor)
	if first {
		l.emit(LogEvent{Event: "WorkerAnnounced", Detail: worker.ID})
		l.answeredAt = l.now
	}
	if !worker.StartedAt.Equal(l.startedAt) {
		l.workerRestarted(worker.StartedAt)
	}
	if first || draining != worker.Draining {
		l.workerChanged = true
		l.renewIfConnected()
	}
}

// renewIfConnected reports a change of the worker without waiting for the next renewal.
func (l *LeaseHolder) renewIfConnected() {
	if l.connected {
		l.renew()
	}
}

// departed marks the worker as draining, since it has announced that it terminates. Its runs terminate with it.
func (l *LeaseHolder) departed(id string) {
	if l.worker == nil || l.worker.ID != id {
		return
	}
	l.emit(LogEvent{Event: "WorkerDeparted", Detail: id, Count: len(l.runs)})
	departed := *l.worker
	departed.Draining = true
	l.worker, l.workerChanged = &departed, true
	l.renewIfConnected()
}
