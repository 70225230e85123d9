package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

func (r *Registrar) accept(c specifier.AcceptJob) specifier.Decision {
	known, ok := r.submissions[c.Job]
	switch {
	case ok && known.phase == cancelled:
		return r.finished(known)
	case ok && known.digest != shorten(c.Digest) && !r.refusalOver(known):
		return specifier.Decision{Verdict: specifier.Conflict, Detail: "the key was used with another body"}
	case ok && (known.phase == finished || known.phase == refused && !r.refusalOver(known)):
		return r.finished(known)
	case !r.mayOwn(c.Owner):
		return specifier.Decision{Verdict: specifier.Fenced, Detail: c.Owner.String() + " is not an entry that is up"}
	case ok && known.phase == owned && r.owners.Get(known.owner) == c.Owner:
		// The decision of an earlier proposal was lost on its way.
		return specifier.Decision{Verdict: specifier.Accepted, Epoch: specifier.Epoch(known.epoch)}
	case ok && known.phase != released && known.phase != refused:
		// An entry that took the job over is attached to itself: tasks of the former owner may
		// run, so it must propose TakeOverJob again and fence.
		return r.attached(known)
	case c.Revision < r.configuration.Revision:
		return specifier.Decision{Verdict: specifier.Stale}
	case !ok && len(r.submissions) >= r.MaxSubmissions:
		return specifier.Decision{Verdict: specifier.Full}
	}
	known.digest, known.accepted, known.phase = shorten(c.Digest), r.index, owned
	r.answers.Release(known.answer)
	known.answer, known.held = 0, 0
	known.epoch++
	r.own(&known, c.Owner)
	r.put(c.Job, known, c.TimeLeft)
	return specifier.Decision{Verdict: specifier.Accepted, Epoch: specifier.Epoch(known.epoch)}
}

func (r *Registrar) takeOver(c specifier.TakeOverJob) specifier.Decision {
	known, ok := r.submissions[c.Job]
	owner := r.owners.Get(known.owner)
	switch {
	case !ok:
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "Job: unknown"}
	case known.phase == cancelled:
		return r.finished(known)
	case known.digest != shorten(c.Digest):
		return specifier.Decision{Verdict: specifier.Conflict, Detail: "the key was used with another body"}
	case known.phase == finished:
		return r.finished(known)
	case known.phase == released || known.phase == refused:
		return r.accept(specifier.AcceptJob{Job: c.Job, Digest: c.Digest, Owner: c.Owner, Revision: c.Revision, TimeLeft: c.TimeLeft})
	case !r.mayOwn(c.Owner):
		return specifier.Decision{Verdict: specifier.Fenced, Detail: c.Owner.String() + " is not an entry that is up"}
	case owner == c.Owner:
		return r.tookOver(known)
	case specifier.Epoch(known.epoch) != c.Replaces || r.isUp(owner):
		return r.attached(known)
	case c.Revision < r.configuration.Revision:
		return specifier.Decision{Verdict: specifier.Stale}
	}
	known.phase = takenOver
	known.epoch++
	r.own(&known, c.Owner)
	r.put(c.Job, known, c.TimeLeft)
	r.departed.extend(known.accepted, r.keepTime(c.TimeLeft).Add(2*keepMargin))
	return r.tookOver(known)
}

func (r *Registrar) finish(c specifier.FinishJob) specifier.Decision {
	known, ok := r.submissions[c.Job]
	owner := r.owners.Get(known.owner) == c.Owner && specifier.Epoch(known.epoch) == c.Epoch
	switch {
	case !ok:
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "Job: unknown"}
	case c.Answer.Outcome == "":
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "Answer.Outcome: is empty"}
	case !owner || known.phase == released || known.phase == cancelled:
		return specifier.Decision{Verdict: specifier.Fenced}
	case known.phase == finished || known.phase == refused:
		return r.finished(known)
	}
	known.phase = finished
	if c.Answer.Outcome == specifier.NotRun && c.Answer.Reason != specifier.Cancelled {
		known.phase, known.held = refused, keepUntil(r.now.Add(specifier.RefusalRetention))
	}
	known.answer = r.answers.Acquire(answerOf(c.Answer))
	r.submissions[c.Job] = known
	return r.finished(known)
}

func (r *Registrar) release(c specifier.ReleaseJob) specifier.Decision {
	known, ok := r.submissions[c.Job]
	switch {
	case !ok:
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "Job: unknown"}
	case known.phase == finished || known.phase == cancelled || known.phase == refused:
		return specifier.Decision{Verdict: specifier.Fenced}
	case r.owners.Get(known.owner) != c.Owner || specifier.Epoch(known.epoch) != c.Epoch:
		return specifier.Decision{Verdict: specifier.Fenced}
	}
	known.phase = released
	r.submissions[c.Job] = known
	return specifier.Decision{Verdict: specifier.Applied}
}

// refuse records the refusal of a job that is not known, or was released or refused before.
func (r *Registrar) refuse(c specifier.RefuseJob) specifier.Decision {
	known, ok := r.submissions[c.Job]
	switch {
	case ok && known.phase == cancelled:
		return r.finished(known)
	case ok && known.phase != released && known.phase != refused && known.digest != shorten(c.Digest):
		return specifier.Decision{Verdict: specifier.Conflict, Detail: "the key was used with another body"}
	case ok && (known.phase == finished || known.phase == refused && !r.refusalOver(known)):
		return r.finished(known)
	case ok && known.phase != released && known.phase != refused:
		return r.attached(known)
	case c.Revision < r.configuration.Revision:
		return specifier.Decision{Verdict: specifier.Stale}
	case !ok && len(r.submissions) >= r.MaxSubmissions:
		return specifier.Decision{Verdict: specifier.Full}
	}
	r.answers.Release(known.answer)
	known.answer = r.answers.Acquire(answerOf(c.Answer))
	known.digest, known.phase = shorten(c.Digest), refused
	known.held = keepUntil(r.now.Add(specifier.RefusalRetention))
	if !ok {
		known.accepted = r.index
	}
	r.remember(c.Job, known, known.held)
	return r.finished(known)
}

// refusalOver reports whether a refused key may be accepted again.
func (r *Registrar) refusalOver(known submission) bool {
	return known.phase == refused && known.held.reached(r.now)
}

// cancel leaves a record of a job that nobody owns, so that a submission that arrives later is
// answered with NotRun. Its deadline is unknown, so the record is kept as for the latest one.
func (r *Registrar) cancel(c specifier.CancelJob) specifier.Decision {
	known, ok := r.submissions[c.Job]
	switch {
	case ok && (known.phase == finished || known.phase == cancelled):
		return r.finished(known)
	case ok && known.phase != released && known.phase != refused:
		return r.attached(known)
	case !ok && len(r.submissions) >= r.MaxSubmissions:
		return specifier.Decision{Verdict: specifier.Full}
	}
	r.answers.Release(known.answer)
	known.answer = r.answers.Acquire(answerOf(specifier.Refuse(specifier.Cancelled, "cancelled before it was accepted")))
	if known.epoch > 0 {
		known.phase = finished
		r.submissions[c.Job] = known
		return r.finished(known)
	}
	known.accepted, known.phase = r.index, cancelled
	r.put(c.Job, known, specifier.MaxTimeLeft)
	return r.finished(known)
}

func (r *Registrar) finished(known submission) specifier.Decision {
	decision := r.attached(known)
	decision.Verdict, decision.Answer = specifier.Finished, r.answers.Get(known.answer).whole()
	return decision
}

// attached names the address of the owner only while that incarnation is up: another one at the
// same name holds neither the job nor its results.
func (r *Registrar) attached(known submission) specifier.Decision {
	owner := r.owners.Get(known.owner)
	decision := specifier.Decision{Verdict: specifier.Attached, Owner: owner, OwnerDown: true, Epoch: specifier.Epoch(known.epoch)}
	if r.isUp(owner) {
		decision.OwnerAddr, decision.OwnerDown = r.members[owner.Name].Addr, false
	}
	return decision
}

func (r *Registrar) tookOver(known submission) specifier.Decision {
	return specifier.Decision{Verdict: specifier.Accepted, Epoch: specifier.Epoch(known.epoch),
		Departed: r.departed.agentsSince(known.accepted)}
}

func (r *Registrar) own(known *submission, owner specifier.Identity) {
	former := known.owner
	known.owner = r.owners.Acquire(owner)
	r.owners.Release(former)
}

// keepTime returns until when a submission with this much time left is remembered.
func (r *Registrar) keepTime(left time.Duration) time.Time {
	left = min(max(left, 0), specifier.MaxTimeLeft)
	return r.now.Add(left + specifier.KeyRetention)
}

// put stores the submission and extends how long it is remembered, never shortens it.
func (r *Registrar) put(id specifier.JobID, known submission, left time.Duration) {
	r.remember(id, known, keepUntil(r.keepTime(left)))
}

func (r *Registrar) remember(id specifier.JobID, known submission, until seconds) {
	if until > known.keep {
		known.keep = until
		r.expiring.Push(expiry{keep: until, job: id})
	}
	r.submissions[id] = known
}

// forget drops the submissions whose time is over. An entry of the heap may be out of date:
// the submission's own time decides.
func (r *Registrar) forget() {
	for {
		next, ok := r.expiring.Peek()
		if !ok || !next.keep.reached(r.now) {
			return
		}
		r.expiring.Pop()
		if known, ok := r.submissions[next.job]; ok && known.keep.reached(r.now) {
			r.owners.Release(known.owner)
			r.answers.Release(known.answer)
			delete(r.submissions, next.job)
		}
	}
}
