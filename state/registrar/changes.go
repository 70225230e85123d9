package registrar

import (
	"fmt"

	"oleandertally/core/specifier"
)

// change decides a configuration change once: a resend gets the first decision, with the
// revision of that time.
func (r *Registrar) change(c specifier.ChangeConfiguration) specifier.Decision {
	if c.RequestID == "" || len(c.RequestID) > specifier.MaxName {
		return r.rejectChange(fmt.Sprintf("RequestId: has %d bytes, expected 1 to %d", len(c.RequestID), specifier.MaxName))
	}
	content := c.Digest()
	if first, ok := r.requests.find(c.RequestID); ok {
		if first.digest == content {
			return first.decision
		}
		return r.rejectChange(fmt.Sprintf("RequestId: %q was used by %s for another change", c.RequestID, first.operator))
	}
	decision := r.decideChange(c)
	r.requests.add(request{id: c.RequestID, digest: content, operator: c.Operator, decision: decision,
		keep: r.now.Add(specifier.RequestRetention)})
	return decision
}

func (r *Registrar) decideChange(c specifier.ChangeConfiguration) specifier.Decision {
	inForce := r.configuration.Revision
	if c.From > inForce {
		return r.rejectChange(fmt.Sprintf("From: is %d, expected at most %d, the revision in force", c.From, inForce))
	}
	if c.From < inForce {
		return r.lostRace(c)
	}
	if found := c.Check(r.configuration); found != nil {
		return r.rejectChange(found.Error())
	}
	r.configuration = c.Apply(r.configuration)
	r.changed = c.Operator
	return specifier.Decision{Verdict: specifier.Applied, Revision: r.configuration.Revision}
}

// lostRace names the operator whose change was made from the same revision and won. When that
// change is no longer remembered, it names the operator of the newest one.
func (r *Registrar) lostRace(c specifier.ChangeConfiguration) specifier.Decision {
	inForce := r.configuration.Revision
	decision := specifier.Decision{Verdict: specifier.Conflict, Revision: inForce, Operator: r.changed,
		Detail: fmt.Sprintf("From: is %d, but %d is in force", c.From, inForce)}
	if winner, ok := r.requests.made(c.From + 1); ok {
		decision.Operator = winner.operator
		decision.Detail += fmt.Sprintf("; %s made revision %d from it with request %q", winner.operator, c.From+1, winner.id)
	}
	return decision
}

func (r *Registrar) rejectChange(detail string) specifier.Decision {
	return specifier.Decision{Verdict: specifier.Rejected, Revision: r.configuration.Revision, Detail: detail}
}
