package coordinator

import (
	"fmt"
	"slices"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

func (c *Coordinator) submitted(now time.Time, e Submitted) {
	digest := specifier.NewDigest(e.Job)
	if known := c.jobs[e.Job.ID]; known != nil {
		c.note(recorder.JobSubmitted, known, "", "", fmt.Sprintf("%d tasks", len(e.Job.Tasks)))
		c.attach(known, digest, waiting{waiter: e.Waiter, caller: true})
		return
	}
	job := newJob(now, e.Job, digest)
	job.waiters = []waiting{{waiter: e.Waiter, caller: true}}
	c.note(recorder.JobSubmitted, job, "", "", fmt.Sprintf("%d tasks", len(e.Job.Tasks)))
	c.makeRoom()
	if len(c.jobs) >= c.MaxJobs {
		c.give(now, job, specifier.Fail(specifier.Overloaded,
			"this entry holds too many jobs to look the key up; an earlier submission under it may have run", true))
		return
	}
	c.jobs[e.Job.ID] = job
	c.wakeAt(job, e.Job.Deadline)
	c.wakeAt(job, now.Add(decideBound))
	if refusal := c.check(now, job); refusal != nil {
		c.refuse(job, *refusal)
		return
	}
	c.propose(now, job)
}

// attach adds a waiter to a job that is known here.
func (c *Coordinator) attach(known *job, digest specifier.Digest, to waiting) {
	if known.digest != digest {
		refused := &job{spec: specifier.Job{ID: known.spec.ID}, answer: specifier.Refuse(specifier.KeyReused, "the key was used with another body")}
		c.reply(refused, to)
		return
	}
	c.note(recorder.JobAttached, known, "", "", "")
	if known.phase == answered {
		c.reply(known, to)
		return
	}
	known.waiters = append(known.waiters, to)
}

// check returns why the job can't run under the configuration in force, or nil. It sets the
// job's profile.
func (c *Coordinator) check(now time.Time, job *job) *specifier.Answer {
	refuse := func(reason specifier.Reason, detail string) *specifier.Answer {
		answer := specifier.Refuse(reason, detail)
		return &answer
	}
	if c.draining {
		answer := specifier.Refuse(specifier.Stopping, "this entry is shutting down")
		// Until then every entry answers the key with this refusal.
		answer.RetryAfter = specifier.RefusalHold
		return &answer
	}
	if !job.spec.Deadline.After(now) {
		return refuse(specifier.DeadlinePast, "TimeLeft: the deadline has passed")
	}
	if _, ok := c.configuration.Teams[job.spec.Team]; !ok && len(c.configuration.Teams) > 0 {
		return refuse(specifier.UnknownTeam, fmt.Sprintf("Team: no team %q at revision %d", job.spec.Team, c.configuration.Revision))
	}
	profile, ok := c.configuration.Profiles[job.spec.Profile]
	if !ok {
		return refuse(specifier.UnknownProfile, fmt.Sprintf("Profile: no profile %q at revision %d", job.spec.Profile, c.configuration.Revision))
	}
	job.profile = profile
	if refusal := c.Scheduler.Admit(now, job.spec, profile); refusal != nil {
		answer := specifier.Refuse(refusal.Reason, refusal.Detail)
		answer.RetryAfter = refusal.RetryAfter
		return &answer
	}
	return nil
}

// refuse records the refusal before it is answered: an earlier submission under the key may have
// run through another entry, and then NotRun would be false.
func (c *Coordinator) refuse(job *job, refusal specifier.Answer) {
	job.refusal = &refusal
	job.phase = refusing
	c.out = append(c.out, Propose{specifier.RefuseJob{Job: job.spec.ID, Digest: job.digest, Revision: c.configuration.Revision, Answer: refusal}})
}

func (c *Coordinator) propose(now time.Time, job *job) {
	job.refusal = nil
	if refusal := c.check(now, job); refusal != nil && job.replaces == 0 {
		c.refuse(job, *refusal)
		return
	}
	job.phase = proposing
	job.owner = c.self
	left := job.spec.Deadline.Sub(now)
	revision := c.configuration.Revision
	if job.replaces != 0 {
		c.note(recorder.JobProposed, job, "", "", "take over")
		c.out = append(c.out, Propose{specifier.TakeOverJob{Job: job.spec.ID, Digest: job.digest, Owner: c.self,
			Replaces: job.replaces, Revision: revision, TimeLeft: left}})
		return
	}
	c.note(recorder.JobProposed, job, "", "", "")
	c.out = append(c.out, Propose{specifier.AcceptJob{Job: job.spec.ID, Digest: job.digest, Owner: c.self,
		TaskCount: len(job.spec.Tasks), Revision: revision, TimeLeft: left}})
}

func (c *Coordinator) retry(now time.Time, job *job) {
	wait := min(retryFirst<<min(job.attempts, 10), retryMost)
	job.attempts++
	job.replaces = 0
	job.phase = backingOff
	job.silent = now
	job.retryAt = now.Add(wait/2 + time.Duration(c.Rand.Int64N(int64(wait))))
	c.wakeAt(job, job.retryAt)
	c.wakeAt(job, now.Add(decideBound))
}

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

func (c *Coordinator) ownerAnswered(now time.Time, e OwnerAnswered) {
	if job := c.jobs[e.Job]; job != nil && job.phase == attached {
		if e.Gone && job.finished != nil {
			c.fetch(now, job, *job.finished)
		} else if e.Gone {
			c.retry(now, job)
		} else {
			c.give(now, job, e.Answer)
			delete(c.jobs, e.Job)
		}
	}
	answer := e.Answer
	if e.Gone {
		answer = specifier.Fail(specifier.Unavailable, "the entry that runs the job can't be reached; cancel again", true)
	}
	c.replyCancels(e.Job, answer)
}

func (c *Coordinator) awaited(now time.Time, e Awaited) {
	job := c.jobs[e.Job]
	if job == nil || !job.owned() || (!e.Cancel && job.digest != e.Digest) {
		c.out = append(c.out, Reply{Waiter: e.Waiter, Job: e.Job, Gone: true})
		return
	}
	c.attach(job, job.digest, waiting{waiter: e.Waiter})
	if e.Cancel {
		c.cancel(now, job)
	}
}

func (c *Coordinator) cancelRequested(now time.Time, e CancelRequested) {
	if job := c.jobs[e.Job]; job != nil && job.owned() {
		c.attach(job, job.digest, waiting{waiter: e.Waiter})
		c.cancel(now, job)
		return
	}
	c.cancels[e.Job] = append(c.cancels[e.Job], e.Waiter)
	c.out = append(c.out, Propose{specifier.CancelJob{Job: e.Job}})
}

// cancel ends a job that this entry owns. While the agents' records are collected the former
// owner may have answered already, so the cancellation waits for them.
func (c *Coordinator) cancel(now time.Time, job *job) {
	job.cancel = true
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
		c.out = append(c.out, AskOwner{Owner: d.Owner, Addr: d.OwnerAddr, Job: id, Cancel: true})
	default:
		c.replyCancels(id, specifier.Fail(specifier.Unavailable, "the job could not be cancelled now; cancel again", true))
	}
}

func (c *Coordinator) replyCancels(id specifier.JobID, answer specifier.Answer) {
	for _, waiter := range c.cancels[id] {
		c.out = append(c.out, Reply{Waiter: waiter, Job: id, Answer: answer})
	}
	delete(c.cancels, id)
}

func (c *Coordinator) abandoned(e Abandoned) {
	if job := c.jobs[e.Job]; job != nil {
		job.waiters = slices.DeleteFunc(job.waiters, func(w waiting) bool { return w.waiter == e.Waiter })
	}
	cancels := slices.DeleteFunc(c.cancels[e.Job], func(w Waiter) bool { return w == e.Waiter })
	if len(cancels) > 0 {
		c.cancels[e.Job] = cancels
	} else {
		delete(c.cancels, e.Job)
	}
}

func (c *Coordinator) configured(now time.Time, configuration specifier.Configuration) {
	if configuration.Revision < c.configuration.Revision {
		return // an older configuration never replaces a newer one
	}
	c.configuration = configuration
	c.Scheduler.SetTeams(now, configuration.Teams)
	for _, job := range c.sorted(func(j *job) bool { return j.phase == stale }) {
		c.reviewStale(now, job)
	}
}

func (c *Coordinator) reviewStale(now time.Time, job *job) {
	if c.configuration.Revision >= job.need {
		c.propose(now, job)
	}
}
