package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

func (r *Registrar) accept(c specifier.AcceptJob) specifier.Decision {
	record, ok := r.submissions[c.Job]
	switch {
	case ok && record.phase == cancelled:
		return r.finishedDecision(record)
	case ok && record.digest != truncateDigest(c.Digest) && !r.refusalExpired(record):
		return specifier.Decision{Verdict: specifier.Conflict, Detail: "the key was used with another body"}
	case ok && (record.phase == finished || record.phase == refused && !r.refusalExpired(record)):
		return r.finishedDecision(record)
	case !r.mayOwn(c.Owner):
		return specifier.Decision{Verdict: specifier.Fenced, Detail: c.Owner.String() + " is not an entry that is up"}
	case ok && record.phase == owned && r.owners.Get(record.owner) == c.Owner:
		// The entry did not receive the decision on its earlier proposal.
		return specifier.Decision{Verdict: specifier.Accepted, Epoch: specifier.Epoch(record.epoch)}
	case ok && record.phase != released && record.phase != refused:
		// Attached is also the decision for an entry that took the job over itself. Tasks of the
		// previous owner may still run, so it must propose TakeOverJob again and fence.
		return r.attachedDecision(record)
	case c.Revision < r.configuration.Revision:
		return specifier.Decision{Verdict: specifier.Stale}
	case !ok && len(r.submissions) >= r.MaxSubmissions:
		return specifier.Decision{Verdict: specifier.Full}
	}
	record.digest, record.acceptedIndex, record.phase = truncateDigest(c.Digest), r.index, owned
	r.answers.Release(record.answer)
	record.answer, record.refusedUntil = 0, 0
	record.epoch++
	r.setOwner(&record, c.Owner)
	r.store(c.Job, record, c.TimeLeft)
	return specifier.Decision{Verdict: specifier.Accepted, Epoch: specifier.Epoch(record.epoch)}
}

func (r *Registrar) takeOver(c specifier.TakeOverJob) specifier.Decision {
	record, ok := r.submissions[c.Job]
	owner := r.owners.Get(record.owner)
	switch {
	case !ok:
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "Job: unknown"}
	case record.phase == cancelled:
		return r.finishedDecision(record)
	case record.digest != truncateDigest(c.Digest):
		return specifier.Decision{Verdict: specifier.Conflict, Detail: "the key was used with another body"}
	case record.phase == finished:
		return r.finishedDecision(record)
	case record.phase == released || record.phase == refused:
		return r.accept(specifier.AcceptJob{Job: c.Job, Digest: c.Digest, Owner: c.Owner, Revision: c.Revision, TimeLeft: c.TimeLeft})
	case !r.mayOwn(c.Owner):
		return specifier.Decision{Verdict: specifier.Fenced, Detail: c.Owner.String() + " is not an entry that is up"}
	case owner == c.Owner:
		return r.takenOverDecision(record)
	case specifier.Epoch(record.epoch) != c.Replaces || r.isUp(owner):
		return r.attachedDecision(record)
	case c.Revision < r.configuration.Revision:
		return specifier.Decision{Verdict: specifier.Stale}
	}
	record.phase = takenOver
	record.epoch++
	r.setOwner(&record, c.Owner)
	r.store(c.Job, record, c.TimeLeft)
	r.departed.extendRetention(record.acceptedIndex, r.retentionEnd(c.TimeLeft).Add(2*retentionMargin))
	return r.takenOverDecision(record)
}

func (r *Registrar) finish(c specifier.FinishJob) specifier.Decision {
	record, ok := r.submissions[c.Job]
	isOwner := r.owners.Get(record.owner) == c.Owner && specifier.Epoch(record.epoch) == c.Epoch
	switch {
	case !ok:
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "Job: unknown"}
	case c.Answer.Outcome == "":
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "Answer.Outcome: is empty"}
	case !isOwner || record.phase == released || record.phase == cancelled:
		return specifier.Decision{Verdict: specifier.Fenced}
	case record.phase == finished || record.phase == refused:
		return r.finishedDecision(record)
	}
	record.phase = finished
	if c.Answer.Outcome == specifier.NotRun && c.Answer.Reason != specifier.Cancelled {
		record.phase, record.refusedUntil = refused, expiryTime(r.now.Add(specifier.RefusalRetention))
	}
	record.answer = r.answers.Acquire(newAnswer(c.Answer))
	r.submissions[c.Job] = record
	return r.finishedDecision(record)
}

func (r *Registrar) release(c specifier.ReleaseJob) specifier.Decision {
	record, ok := r.submissions[c.Job]
	switch {
	case !ok:
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "Job: unknown"}
	case record.phase == finished || record.phase == cancelled || record.phase == refused:
		return specifier.Decision{Verdict: specifier.Fenced}
	case r.owners.Get(record.owner) != c.Owner || specifier.Epoch(record.epoch) != c.Epoch:
		return specifier.Decision{Verdict: specifier.Fenced}
	}
	record.phase = released
	r.submissions[c.Job] = record
	return specifier.Decision{Verdict: specifier.Applied}
}

// refuse records the refusal of a job that is unknown or was released or refused before.
func (r *Registrar) refuse(c specifier.RefuseJob) specifier.Decision {
	record, ok := r.submissions[c.Job]
	switch {
	case ok && record.phase == cancelled:
		return r.finishedDecision(record)
	case ok && record.phase != released && record.phase != refused && record.digest != truncateDigest(c.Digest):
		return specifier.Decision{Verdict: specifier.Conflict, Detail: "the key was used with another body"}
	case ok && (record.phase == finished || record.phase == refused && !r.refusalExpired(record)):
		return r.finishedDecision(record)
	case ok && record.phase != released && record.phase != refused:
		return r.attachedDecision(record)
	case c.Revision < r.configuration.Revision:
		return specifier.Decision{Verdict: specifier.Stale}
	case !ok && len(r.submissions) >= r.MaxSubmissions:
		return specifier.Decision{Verdict: specifier.Full}
	}
	r.answers.Release(record.answer)
	record.answer = r.answers.Acquire(newAnswer(c.Answer))
	record.digest, record.phase = truncateDigest(c.Digest), refused
	record.refusedUntil = expiryTime(r.now.Add(specifier.RefusalRetention))
	if !ok {
		record.acceptedIndex = r.index
	}
	r.storeUntil(c.Job, record, record.refusedUntil)
	return r.finishedDecision(record)
}

// refusalExpired reports whether a refused key may be accepted again.
func (r *Registrar) refusalExpired(record submission) bool {
	return record.phase == refused && record.refusedUntil.reached(r.now)
}

// cancel records the cancellation of a job without an owner, so that a submission that arrives later
// is answered with NotRun. The deadline of the job is unknown, so the record is kept as long as for
// the latest possible one.
func (r *Registrar) cancel(c specifier.CancelJob) specifier.Decision {
	record, ok := r.submissions[c.Job]
	switch {
	case ok && (record.phase == finished || record.phase == cancelled):
		return r.finishedDecision(record)
	case ok && record.phase != released && record.phase != refused:
		return r.attachedDecision(record)
	case !ok && len(r.submissions) >= r.MaxSubmissions:
		return specifier.Decision{Verdict: specifier.Full}
	}
	r.answers.Release(record.answer)
	record.answer = r.answers.Acquire(newAnswer(specifier.Refuse(specifier.Cancelled, "cancelled before it was accepted")))
	if record.epoch > 0 {
		record.phase = finished
		r.submissions[c.Job] = record
		return r.finishedDecision(record)
	}
	record.acceptedIndex, record.phase = r.index, cancelled
	r.store(c.Job, record, specifier.MaxTimeLeft)
	return r.finishedDecision(record)
}

func (r *Registrar) finishedDecision(record submission) specifier.Decision {
	decision := r.attachedDecision(record)
	decision.Verdict, decision.Answer = specifier.Finished, r.answers.Get(record.answer).expand()
	return decision
}

// attachedDecision includes the address of the owner only while that incarnation is up. Another
// incarnation of the same name has neither the job nor its results.
func (r *Registrar) attachedDecision(record submission) specifier.Decision {
	owner := r.owners.Get(record.owner)
	decision := specifier.Decision{Verdict: specifier.Attached, Owner: owner, OwnerDown: true, Epoch: specifier.Epoch(record.epoch)}
	if r.isUp(owner) {
		decision.OwnerAddr, decision.OwnerDown = r.members[owner.Name].Addr, false
	}
	return decision
}

func (r *Registrar) takenOverDecision(record submission) specifier.Decision {
	return specifier.Decision{Verdict: specifier.Accepted, Epoch: specifier.Epoch(record.epoch),
		Departed: r.departed.agentsSince(record.acceptedIndex)}
}

func (r *Registrar) setOwner(record *submission, owner specifier.Identity) {
	previous := record.owner
	record.owner = r.owners.Acquire(owner)
	r.owners.Release(previous)
}

// retentionEnd returns the time until which a submission with the given time left is kept.
func (r *Registrar) retentionEnd(timeLeft time.Duration) time.Time {
	timeLeft = min(max(timeLeft, 0), specifier.MaxTimeLeft)
	return r.now.Add(timeLeft + specifier.KeyRetention)
}

// store stores the submission and extends its retention if needed. The retention is never shortened.
func (r *Registrar) store(id specifier.JobID, record submission, timeLeft time.Duration) {
	r.storeUntil(id, record, expiryTime(r.retentionEnd(timeLeft)))
}

func (r *Registrar) storeUntil(id specifier.JobID, record submission, keepUntil seconds) {
	if keepUntil > record.keepUntil {
		record.keepUntil = keepUntil
		r.expiring.Push(expiry{keepUntil: keepUntil, job: id})
	}
	r.submissions[id] = record
}

// expireSubmissions removes the expired submissions. An entry of the heap may be outdated, because
// the retention was extended, so keepUntil of the submission decides.
func (r *Registrar) expireSubmissions() {
	for {
		next, ok := r.expiring.Peek()
		if !ok || !next.keepUntil.reached(r.now) {
			return
		}
		r.expiring.Pop()
		if record, ok := r.submissions[next.job]; ok && record.keepUntil.reached(r.now) {
			r.owners.Release(record.owner)
			r.answers.Release(record.answer)
			delete(r.submissions, next.job)
		}
	}
}
