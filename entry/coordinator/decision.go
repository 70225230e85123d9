package coordinator

import (
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

func (c *Coordinator) decided(now time.Time, e Decided) {
	switch command := e.Command.(type) {
	case specifier.RefuseJob:
		if job := c.jobs[command.Job]; job != nil && job.phase == refusing {
			c.route(now, job, e.Decision)
		}
	case specifier.AcceptJob:
		c.proposalDecided(now, command.Job, command.Owner, 0, e.Decision)
	case specifier.TakeOverJob:
		c.proposalDecided(now, command.Job, command.Owner, command.Replaces, e.Decision)
	case specifier.FinishJob:
		c.finishDecided(now, command, e.Decision)
	case specifier.CancelJob:
		c.cancelDecided(command.Job, e.Decision)
	}
}

func (c *Coordinator) proposalDecided(now time.Time, id specifier.JobID, owner specifier.Identity, replaces specifier.Epoch, d specifier.Decision) {
	job := c.jobs[id]
	if job == nil {
		if d.Verdict == specifier.Accepted && replaces == 0 {
			// The callers were told that nobody decided in time. Nothing was sent to an agent.
			c.out = append(c.out, Propose{specifier.ReleaseJob{Job: id, Owner: owner, Epoch: d.Epoch}})
		}
		return
	}
	if job.phase == proposing && job.owner == owner && job.replaces == replaces {
		c.route(now, job, d)
	}
}

// route acts on the decision that an undecided job was waiting for.
func (c *Coordinator) route(now time.Time, job *job, d specifier.Decision) {
	switch d.Verdict {
	case specifier.Accepted:
		c.accepted(now, job, d)
	case specifier.Attached:
		c.attachedElsewhere(now, job, d)
	case specifier.Finished:
		c.finishedEarlier(now, job, d)
	case specifier.Conflict:
		c.give(now, job, specifier.Refuse(specifier.KeyReused, "the key was used with another body"))
		delete(c.jobs, job.spec.ID)
	case specifier.Full:
		answer := specifier.Refuse(specifier.Overloaded, "the controllers remember as many submissions as they can")
		answer.RetryAfter = time.Second
		c.give(now, job, answer)
		delete(c.jobs, job.spec.ID)
	case specifier.Stale:
		job.phase, job.need = stale, d.Revision
		c.reviewStale(now, job)
	default:
		c.retry(now, job)
	}
}

func (c *Coordinator) accepted(now time.Time, job *job, d specifier.Decision) {
	// An epoch that this job already had is not a new run: its tasks may have started under it.
	again := d.Epoch == job.epoch
	job.epoch = d.Epoch
	if job.replaces != 0 || again {
		c.note(recorder.JobTaken, job, "", "", "")
		job.unknown = again || len(d.Departed) > 0
		for _, agent := range d.Departed {
			c.noteDown(agent)
		}
		c.collect(now, job, d)
		return
	}
	c.note(recorder.JobAccepted, job, "", "", "")
	if job.cancel {
		c.fail(now, job, specifier.Cancelled, "the caller cancelled the job")
		return
	}
	c.run(now, job)
}

func (c *Coordinator) attachedElsewhere(now time.Time, job *job, d specifier.Decision) {
	switch {
	case d.Owner == c.self:
		// An earlier proposal of this entry took the job over after its callers had been answered.
		job.replaces = d.Epoch
		c.propose(now, job)
	case d.OwnerDown && job.refusal != nil:
		c.give(now, job, specifier.Fail(specifier.Unavailable, "the entry that ran the job is down, and this one can't take it over: "+job.refusal.Detail, true))
		delete(c.jobs, job.spec.ID)
	case d.OwnerDown:
		job.replaces = d.Epoch
		c.propose(now, job)
	default:
		job.phase = attached
		c.note(recorder.JobAttached, job, "", d.Owner.Name, "")
		c.out = append(c.out, AskOwner{Owner: d.Owner, Addr: d.OwnerAddr, Job: job.spec.ID, Digest: job.digest})
	}
}

func (c *Coordinator) finishedEarlier(now time.Time, job *job, d specifier.Decision) {
	if d.Answer.Outcome != specifier.Complete {
		c.give(now, job, d.Answer)
		delete(c.jobs, job.spec.ID)
		return
	}
	if !d.OwnerDown && d.Owner != c.self {
		// The owner keeps the answer for a while, also after an agent that held a result has left.
		job.finished = &d
		job.phase = attached
		c.out = append(c.out, AskOwner{Owner: d.Owner, Addr: d.OwnerAddr, Job: job.spec.ID, Digest: job.digest})
		return
	}
	c.fetch(now, job, d)
}

// fetch collects the results of a finished job from the agents.
func (c *Coordinator) fetch(now time.Time, job *job, d specifier.Decision) {
	job.epoch = d.Epoch
	job.fetched = true
	c.collect(now, job, d)
}

func (c *Coordinator) finishDecided(now time.Time, command specifier.FinishJob, d specifier.Decision) {
	job := c.jobs[command.Job]
	if job == nil || job.epoch != command.Epoch {
		return
	}
	switch job.phase {
	case answered:
		c.settled(job)
	case recording:
		if d.Verdict != specifier.Finished {
			c.give(now, job, specifier.Fail(specifier.Superseded, "another entry took the job over", true))
			delete(c.jobs, command.Job)
			return
		}
		c.give(now, job, job.answer)
		c.settled(job)
		job.keep = now.Add(answerRetention)
		c.wakeAt(job, job.keep)
	}
}
