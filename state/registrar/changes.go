package registrar

import (
	"fmt"

	"oleandertally/core/specifier"
)

// applyChange decides a configuration change. A resend with the same request ID gets the original
// decision, including its revision.
func (r *Registrar) applyChange(c specifier.ChangeConfiguration) specifier.Decision {
	if c.RequestID == "" || len(c.RequestID) > specifier.MaxName {
		return r.rejectChange(fmt.Sprintf("RequestId: has %d bytes, expected 1 to %d", len(c.RequestID), specifier.MaxName))
	}
	digest := c.Digest()
	if previous, ok := r.requests.find(c.RequestID); ok {
		if previous.digest == digest {
			return previous.decision
		}
		return r.rejectChange(fmt.Sprintf("RequestId: %q was used by %s for another change", c.RequestID, previous.operator))
	}
	decision := r.decideChange(c)
	r.requests.add(request{id: c.RequestID, digest: digest, operator: c.Operator, decision: decision,
		keepUntil: r.now.Add(specifier.RequestRetention)})
	return decision
}

func (r *Registrar) decideChange(c specifier.ChangeConfiguration) specifier.Decision {
	current := r.configuration.Revision
	if c.From > current {
		return r.rejectChange(fmt.Sprintf("From: is %d, expected at most %d, the revision in force", c.From, current))
	}
	if c.From < current {
		return r.conflict(c)
	}
	if err := c.Check(r.configuration); err != nil {
		return r.rejectChange(err.Error())
	}
	r.configuration = c.Apply(r.configuration)
	r.lastOperator = c.Operator
	return specifier.Decision{Verdict: specifier.Applied, Revision: r.configuration.Revision}
}

// conflict rejects a change that was made from an outdated revision. The decision names the operator
// of the accepted change from the same revision, or of the latest change if that one has expired.
func (r *Registrar) conflict(c specifier.ChangeConfiguration) specifier.Decision {
	current := r.configuration.Revision
	decision := specifier.Decision{Verdict: specifier.Conflict, Revision: current, Operator: r.lastOperator,
		Detail: fmt.Sprintf("From: is %d, but %d is in force", c.From, current)}
	if accepted, ok := r.requests.findByRevision(c.From + 1); ok {
		decision.Operator = accepted.operator
		decision.Detail += fmt.Sprintf("; %s made revision %d from it with request %q", accepted.operator, c.From+1, accepted.id)
	}
	return decision
}

func (r *Registrar) rejectChange(detail string) specifier.Decision {
	return specifier.Decision{Verdict: specifier.Rejected, Revision: r.configuration.Revision, Detail: detail}
}
