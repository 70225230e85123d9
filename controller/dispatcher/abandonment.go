package dispatcher

// abandon removes a call whose caller no longer waits. A transient job without waiting calls starts no further task.
func (d *Dispatcher) abandon(from waiter) {
	j := d.calls[from]
	if j == nil {
		return
	}
	delete(d.calls, from)
	for i, each := range j.waiters {
		if each == from {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			break
		}
	}
	if j.Transient && len(j.waiters) == 0 && !j.ended {
		d.dequeueJob(j)
		j.evictAt = d.now.Add(d.Settings.KeepAfter)
		d.wake(j.evictAt, timer{job: j})
		d.emit(LogEvent{Event: "JobAbandoned", Job: j.ID, Queue: j.Queue, Age: d.now.Sub(j.arrived), Count: j.remaining})
	}
}

func (d *Dispatcher) callerDisconnected(stream Stream) {
	var abandoned []waiter
	for from := range d.calls {
		if from.stream == stream {
			abandoned = append(abandoned, from)
		}
	}
	sortWaiters(abandoned)
	for _, from := range abandoned {
		d.abandon(from)
	}
}
