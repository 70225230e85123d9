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
			// The callers were answered when the decision timeout passed. No task was sent to an agent.
			c.actions = append(c.actions, Propose{specifier.ReleaseJob{Job: id, Owner: owner, Epoch: d.Epoch}})
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
		c.answerAll(now, job, specifier.Refuse(specifier.KeyReused, "the key was used with another body"))
		delete(c.jobs, job.spec.ID)
	case specifier.Full:
		answer := specifier.Refuse(specifier.Overloaded, "the controllers remember as many submissions as they can")
		answer.RetryAfter = time.Second
		c.answerAll(now, job, answer)
		delete(c.jobs, job.spec.ID)
	case specifier.Stale:
		job.phase, job.minRevision = stale, d.Revision
		c.reviewStale(now, job)
	default:
		c.retry(now, job)
	}
}

func (c *Coordinator) accepted(now time.Time, job *job, d specifier.Decision) {
	// If the job already has this epoch, the decision starts no new run: tasks may have started under the epoch.
	sameEpoch := d.Epoch == job.epoch
	job.epoch = d.Epoch
	if job.replaces != 0 || sameEpoch {
		c.recordEvent(recorder.JobTaken, job, "", "", "")
		job.recordMissing = sameEpoch || len(d.Departed) > 0
		for _, agent := range d.Departed {
			c.recordMemberDown(agent)
		}
		c.collectReports(now, job, d)
		return
	}
	c.recordEvent(recorder.JobAccepted, job, "", "", "")
	if job.cancelled {
		c.fail(now, job, specifier.Cancelled, "the caller cancelled the job")
		return
	}
	c.run(now, job)
}

func (c *Coordinator) attachedElsewhere(now time.Time, job *job, d specifier.Decision) {
	switch {
	case d.Owner == c.self:
		// An earlier proposal of this entry was accepted after its callers had been answered.
		job.replaces = d.Epoch
		c.propose(now, job)
	case d.OwnerDown && job.refusal != nil:
		c.answerAll(now, job, specifier.Fail(specifier.Unavailable, "the entry that ran the job is down, and this one can't take it over: "+job.refusal.Detail, true))
		delete(c.jobs, job.spec.ID)
	case d.OwnerDown:
		job.replaces = d.Epoch
		c.propose(now, job)
	default:
		job.phase = attached
		c.recordEvent(recorder.JobAttached, job, "", d.Owner.Name, "")
		c.actions = append(c.actions, AskOwner{Owner: d.Owner, Addr: d.OwnerAddr, Job: job.spec.ID, Digest: job.digest})
	}
}

func (c *Coordinator) finishedEarlier(now time.Time, job *job, d specifier.Decision) {
	if d.Answer.Outcome != specifier.Complete {
		c.answerAll(now, job, d.Answer)
		delete(c.jobs, job.spec.ID)
		return
	}
	if !d.OwnerDown && d.Owner != c.self {
		// The owner retains the answer for a while, even after an agent that has a result departs.
		job.finished = &d
		job.phase = attached
		c.actions = append(c.actions, AskOwner{Owner: d.Owner, Addr: d.OwnerAddr, Job: job.spec.ID, Digest: job.digest})
		return
	}
	c.collectResults(now, job, d)
}

// collectResults starts to collect the results of a finished job from the agents.
func (c *Coordinator) collectResults(now time.Time, job *job, d specifier.Decision) {
	job.epoch = d.Epoch
	job.resultsOnly = true
	c.collectReports(now, job, d)
}

func (c *Coordinator) finishDecided(now time.Time, command specifier.FinishJob, d specifier.Decision) {
	job := c.jobs[command.Job]
	if job == nil || job.epoch != command.Epoch {
		return
	}
	switch job.phase {
	case answered:
		c.markRecorded(job)
	case recording:
		if d.Verdict != specifier.Finished {
			c.answerAll(now, job, specifier.Fail(specifier.Superseded, "another entry took the job over", true))
			delete(c.jobs, command.Job)
			return
		}
		c.answerAll(now, job, job.answer)
		c.markRecorded(job)
		job.keepUntil = now.Add(answerRetention)
		c.setTimer(job, job.keepUntil)
	}
}
