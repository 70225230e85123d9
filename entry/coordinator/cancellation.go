package coordinator

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

func (c *Coordinator) cancelRequested(now time.Time, e CancelRequested) {
	if job := c.jobs[e.Job]; job != nil && job.owned() {
		c.attach(job, job.digest, request{waiter: e.Waiter})
		c.cancel(now, job)
		return
	}
	c.cancels[e.Job] = append(c.cancels[e.Job], e.Waiter)
	c.actions = append(c.actions, Propose{specifier.CancelJob{Job: e.Job}})
}

// cancel ends a job that this entry owns. While the agents' reports are being collected, the former owner may
// already have answered, so the cancellation waits for the reports.
func (c *Coordinator) cancel(now time.Time, job *job) {
	job.cancelled = true
	if job.phase == running {
		c.fail(now, job, specifier.Cancelled, "the caller cancelled the job")
	}
}

func (c *Coordinator) cancelDecided(id specifier.JobID, d specifier.Decision) {
	switch {
	case len(c.cancels[id]) == 0:
	case d.Verdict == specifier.Finished:
		c.replyCancels(id, d.Answer)
	case d.Verdict == specifier.Attached && !d.OwnerDown:
		c.actions = append(c.actions, AskOwner{Owner: d.Owner, Addr: d.OwnerAddr, Job: id, Cancel: true})
	default:
		c.replyCancels(id, specifier.Fail(specifier.Unavailable, "the job could not be cancelled now; cancel again", true))
	}
}

func (c *Coordinator) replyCancels(id specifier.JobID, answer specifier.Answer) {
	for _, waiter := range c.cancels[id] {
		c.actions = append(c.actions, Reply{Waiter: waiter, Job: id, Answer: answer})
	}
	delete(c.cancels, id)
}

func (c *Coordinator) abandoned(e Abandoned) {
	if job := c.jobs[e.Job]; job != nil {
		job.requests = slices.DeleteFunc(job.requests, func(r request) bool { return r.waiter == e.Waiter })
	}
	cancels := slices.DeleteFunc(c.cancels[e.Job], func(w Waiter) bool { return w == e.Waiter })
	if len(cancels) > 0 {
		c.cancels[e.Job] = cancels
	} else {
		delete(c.cancels, e.Job)
	}
}
