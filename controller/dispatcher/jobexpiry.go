package dispatcher

import "oleandertally/core/specifier"

// expireJob handles the deadlines of a job. A transient job that has not started is refused at decideAt if it is not likely to start in
// time. Later it is refused only when it can't end any more while its answer is of use. A job is deleted at evictAt.
func (d *Dispatcher) expireJob(j *job) {
	if d.jobs[j.ID] != j {
		return
	}
	d.expireWatchers(j)
	if !j.ended && !j.started && j.Transient && d.isRefusedWaiting(j) {
		d.kind(j).Zones.Serve(d.now, j.zone, -j.coreSeconds())
		d.finish(j, specifier.QueueReply{Result: specifier.QueueRefused, RetryAfter: d.retryAfter(d.pool(j.queue.Pool)), Detail: "it could not start in time"})
		return
	}
	if !j.evictAt.IsZero() && !d.now.Before(j.evictAt) {
		if !j.ended {
			j.ended = true
			d.dequeueJob(j)
			d.orphanRuns(j)
		}
		delete(d.jobs, j.ID)
	}
}

// isRefusedWaiting reports whether a job that waits is refused now.
func (d *Dispatcher) isRefusedWaiting(j *job) bool {
	if !d.now.Before(j.expiresAt.Add(-j.criticalPath)) {
		return true
	}
	if j.decided || d.now.Before(j.decideAt) {
		return false
	}
	j.decided = true
	return d.isHopeless(j)
}
