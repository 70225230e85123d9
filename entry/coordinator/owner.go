package coordinator

import (
	"time"

	"oleandertally/core/specifier"
)

func (c *Coordinator) ownerAnswered(now time.Time, e OwnerAnswered) {
	if job := c.jobs[e.Job]; job != nil && job.phase == attached {
		if e.Unavailable && job.finished != nil {
			c.collectResults(now, job, *job.finished)
		} else if e.Unavailable {
			c.retry(now, job)
		} else {
			c.answerAll(now, job, e.Answer)
			delete(c.jobs, e.Job)
		}
	}
	answer := e.Answer
	if e.Unavailable {
		answer = specifier.Fail(specifier.Unavailable, "the entry that runs the job can't be reached; cancel again", true)
	}
	c.replyCancels(e.Job, answer)
}

func (c *Coordinator) answerRequested(now time.Time, e AnswerRequested) {
	job := c.jobs[e.Job]
	if job == nil || !job.owned() || (!e.Cancel && job.digest != e.Digest) {
		c.actions = append(c.actions, Reply{Waiter: e.Waiter, Job: e.Job, NotOwner: true})
		return
	}
	c.attach(job, job.digest, request{waiter: e.Waiter})
	if e.Cancel {
		c.cancel(now, job)
	}
}
