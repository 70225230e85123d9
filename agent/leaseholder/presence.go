package leaseholder

// announced takes over what the worker says of itself. Reports of an earlier life, and late ones, change nothing.
func (l *LeaseHolder) announced(event Announced) {
	worker := event.Worker
	if known := l.worker; known != nil {
		older := worker.Born.Before(known.Born) || worker.Born.Before(l.born)
		if older || worker.ID == known.ID && worker.Born.Equal(known.Born) && event.Sequence <= l.sequence {
			return
		}
	}
	first := l.worker == nil || l.worker.ID != worker.ID || !l.worker.Born.Equal(worker.Born)
	draining := l.worker != nil && l.worker.Draining
	l.worker, l.sequence = &worker, event.Sequence
	if first {
		l.emit(LogEvent{Event: "WorkerAnnounced", Detail: worker.ID})
		l.answered = l.now
	}
	if !worker.Born.Equal(l.born) {
		l.reborn(worker.Born)
	}
	if first || draining != worker.Draining {
		l.changed = true
		l.tell()
	}
}

// tell reports a change of the worker at once.
func (l *LeaseHolder) tell() {
	if l.linked {
		l.renew()
	}
}

// departed notes that the worker ends: what ran there terminates with it.
func (l *LeaseHolder) departed(id string) {
	if l.worker == nil || l.worker.ID != id {
		return
	}
	l.emit(LogEvent{Event: "WorkerDeparted", Detail: id, Count: len(l.runs)})
	gone := *l.worker
	gone.Draining = true
	l.worker, l.changed = &gone, true
	l.tell()
}
