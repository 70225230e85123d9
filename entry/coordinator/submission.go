package coordinator

import (
	"fmt"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

func (c *Coordinator) submitted(now time.Time, e Submitted) {
	digest := specifier.NewDigest(e.Job)
	if known := c.jobs[e.Job.ID]; known != nil {
		c.recordEvent(recorder.JobSubmitted, known, "", "", fmt.Sprintf("%d tasks", len(e.Job.Tasks)))
		c.attach(known, digest, request{waiter: e.Waiter, caller: true})
		return
	}
	job := newJob(now, e.Job, digest)
	job.requests = []request{{waiter: e.Waiter, caller: true}}
	c.recordEvent(recorder.JobSubmitted, job, "", "", fmt.Sprintf("%d tasks", len(e.Job.Tasks)))
	c.freeCapacity()
	if len(c.jobs) >= c.MaxJobs {
		c.answerAll(now, job, specifier.Fail(specifier.Overloaded,
			"this entry holds too many jobs to look the key up; an earlier submission under it may have run", true))
		return
	}
	c.jobs[e.Job.ID] = job
	c.setTimer(job, e.Job.Deadline)
	c.setTimer(job, now.Add(decisionTimeout))
	if refusal := c.check(now, job); refusal != nil {
		c.refuse(job, *refusal)
		return
	}
	c.propose(now, job)
}

// attach adds a request to a job that this entry knows.
func (c *Coordinator) attach(known *job, digest specifier.Digest, to request) {
	if known.digest != digest {
		refused := &job{spec: specifier.Job{ID: known.spec.ID}, answer: specifier.Refuse(specifier.KeyReused, "the key was used with another body")}
		c.reply(refused, to)
		return
	}
	c.recordEvent(recorder.JobAttached, known, "", "", "")
	if known.phase == answered {
		c.reply(known, to)
		return
	}
	known.requests = append(known.requests, to)
}

// check returns a refusal if the job can't run under the configuration in force, or nil. It sets the
// job's profile.
func (c *Coordinator) check(now time.Time, job *job) *specifier.Answer {
	refuse := func(reason specifier.Reason, detail string) *specifier.Answer {
		answer := specifier.Refuse(reason, detail)
		return &answer
	}
	if c.draining {
		answer := specifier.Refuse(specifier.Stopping, "this entry is shutting down")
		// During this time every entry answers the key with this refusal.
		answer.RetryAfter = specifier.RefusalRetention
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
	if left := job.spec.Deadline.Sub(job.arrival); profile.MaxTimeLeft > 0 && left > profile.MaxTimeLeft {
		return refuse(specifier.Invalid, fmt.Sprintf("TimeLeft: is %v, profile %q accepts at most %v", left, profile.Name, profile.MaxTimeLeft))
	}
	if refusal := c.Scheduler.Admit(now, job.spec, profile); refusal != nil {
		answer := specifier.Refuse(refusal.Reason, refusal.Detail)
		answer.RetryAfter = refusal.RetryAfter
		return &answer
	}
	return nil
}

// refuse records the refusal before the caller is answered: an earlier submission under the key may have
// run at another entry, and then NotRun would be false.
func (c *Coordinator) refuse(job *job, refusal specifier.Answer) {
	job.refusal = &refusal
	job.phase = refusing
	c.actions = append(c.actions, Propose{specifier.RefuseJob{Job: job.spec.ID, Digest: job.digest, Revision: c.configuration.Revision, Answer: refusal}})
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
		c.recordEvent(recorder.JobProposed, job, "", "", "take over")
		c.actions = append(c.actions, Propose{specifier.TakeOverJob{Job: job.spec.ID, Digest: job.digest, Owner: c.self,
			Replaces: job.replaces, Revision: revision, TimeLeft: left}})
		return
	}
	c.recordEvent(recorder.JobProposed, job, "", "", "")
	c.actions = append(c.actions, Propose{specifier.AcceptJob{Job: job.spec.ID, Digest: job.digest, Owner: c.self,
		TaskCount: len(job.spec.Tasks), Revision: revision, TimeLeft: left}})
}

func (c *Coordinator) retry(now time.Time, job *job) {
	wait := min(minRetryInterval<<min(job.attempts, 10), maxRetryInterval)
	job.attempts++
	job.replaces = 0
	job.phase = backingOff
	job.undecidedSince = now
	job.retryAt = now.Add(wait/2 + time.Duration(c.Rand.Int64N(int64(wait))))
	c.setTimer(job, job.retryAt)
	c.setTimer(job, now.Add(decisionTimeout))
}
