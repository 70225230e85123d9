package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

func (r *Registrar) accept(c specifier.AcceptJob) specifier.Decision {
	known := r.submissions[c.Job]
	switch {
	case known == nil && len(r.submissions) >= r.MaxSubmissions:
		return specifier.Decision{Verdict: specifier.Full}
	case known != nil && known.digest != c.Digest:
		return specifier.Decision{Verdict: specifier.Conflict}
	case known != nil && known.finished:
		return r.finished(known)
	case known != nil && !known.released && known.owner == c.Owner:
		// The decision of an earlier proposal was lost on its way.
		return specifier.Decision{Verdict: specifier.Accepted, Epoch: known.epoch}
	case known != nil && !known.released:
		return r.attached(known)
	case c.Revision < r.configuration.Revision:
		return specifier.Decision{Verdict: specifier.Stale}
	case r.members[c.Owner.Name].Identity != c.Owner || r.members[c.Owner.Name].State == specifier.Down:
		return specifier.Decision{Verdict: specifier.Fenced}
	}
	if known == nil {
		known = &submission{accepted: r.index}
		r.submissions[c.Job] = known
	}
	known.digest, known.owner, known.released = c.Digest, c.Owner, false
	known.epoch++
	r.keep(c.Job, known, c.TimeLeft)
	return specifier.Decision{Verdict: specifier.Accepted, Epoch: known.epoch}
}

func (r *Registrar) takeOver(c specifier.TakeOverJob) specifier.Decision {
	known := r.submissions[c.Job]
	switch {
	case known == nil:
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "unknown job"}
	case known.digest != c.Digest:
		return specifier.Decision{Verdict: specifier.Conflict}
	case known.finished:
		return r.finished(known)
	case !known.released && known.owner == c.Owner:
		return specifier.Decision{Verdict: specifier.Accepted, Epoch: known.epoch, Departed: r.departedSince(known.accepted)}
	case known.released || known.epoch != c.Replaces || !r.isDown(known.owner):
		return r.attached(known)
	case c.Revision < r.configuration.Revision:
		return specifier.Decision{Verdict: specifier.Stale}
	case r.members[c.Owner.Name].Identity != c.Owner || r.isDown(c.Owner):
		return specifier.Decision{Verdict: specifier.Fenced}
	}
	known.owner = c.Owner
	known.epoch++
	r.keep(c.Job, known, c.TimeLeft)
	return specifier.Decision{Verdict: specifier.Accepted, Epoch: known.epoch, Departed: r.departedSince(known.accepted)}
}

func (r *Registrar) finish(c specifier.FinishJob) specifier.Decision {
	known := r.submissions[c.Job]
	switch {
	case known == nil:
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "unknown job"}
	case known.finished && known.owner == c.Owner && known.epoch == c.Epoch:
		return r.finished(known)
	case known.finished || known.released || known.owner != c.Owner || known.epoch != c.Epoch:
		return specifier.Decision{Verdict: specifier.Fenced}
	}
	known.finished = true
	known.answer = c.Answer
	known.answer.Results = nil
	return r.finished(known)
}

func (r *Registrar) release(c specifier.ReleaseJob) specifier.Decision {
	known := r.submissions[c.Job]
	switch {
	case known == nil:
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "unknown job"}
	case known.finished || known.owner != c.Owner || known.epoch != c.Epoch:
		return specifier.Decision{Verdict: specifier.Fenced}
	}
	known.released = true
	return specifier.Decision{Verdict: specifier.Applied}
}

func (r *Registrar) cancel(c specifier.CancelJob) specifier.Decision {
	known := r.submissions[c.Job]
	switch {
	case known == nil && len(r.submissions) >= r.MaxSubmissions:
		return specifier.Decision{Verdict: specifier.Full}
	case known == nil:
		known = &submission{accepted: r.index}
		r.submissions[c.Job] = known
		r.keep(c.Job, known, 0)
	case known.finished:
		return r.finished(known)
	case !known.released:
		return r.attached(known)
	}
	known.finished = true
	known.answer = specifier.Refuse(specifier.Cancelled, "cancelled before it was accepted")
	return r.finished(known)
}

// Read answers a lookup without a log entry. Only a leader under its lease may use it.
func (r *Registrar) Read(command specifier.LookupJob) specifier.Decision {
	decision := r.lookup(command)
	decision.Revision = r.configuration.Revision
	decision.MemberVersion = r.memberVersion
	return decision
}

func (r *Registrar) lookup(c specifier.LookupJob) specifier.Decision {
	known := r.submissions[c.Job]
	switch {
	case known == nil || known.released:
		return specifier.Decision{Verdict: specifier.Unknown}
	case known.digest != c.Digest:
		return specifier.Decision{Verdict: specifier.Conflict}
	case known.finished:
		return r.finished(known)
	}
	return r.attached(known)
}

func (r *Registrar) finished(known *submission) specifier.Decision {
	return specifier.Decision{Verdict: specifier.Finished, Owner: known.owner, OwnerAddr: r.members[known.owner.Name].Addr,
		OwnerDown: r.isDown(known.owner), Epoch: known.epoch, Answer: known.answer}
}

func (r *Registrar) attached(known *submission) specifier.Decision {
	return specifier.Decision{Verdict: specifier.Attached, Owner: known.owner, OwnerAddr: r.members[known.owner.Name].Addr,
		OwnerDown: r.isDown(known.owner), Epoch: known.epoch}
}

// keep extends how long the submission is remembered, never shortens it.
func (r *Registrar) keep(id specifier.JobID, known *submission, left time.Duration) {
	left = min(max(left, 0), specifier.MaxTimeLeft)
	until := r.now.Add(left + specifier.KeyRetention)
	if until.After(known.keep) {
		known.keep = until
		r.expire(id, until)
	}
}
