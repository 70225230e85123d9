package encoder

import "oleandertally/core/specifier"

// EncodeDecision omits the results of the answer.
func EncodeDecision(d specifier.Decision) *Decision {
	d.Answer.Results = nil
	m := &Decision{Verdict: string(d.Verdict), Owner: EncodeIdentity(d.Owner), OwnerAddr: formatAddr(d.OwnerAddr),
		OwnerDown: d.OwnerDown, Epoch: uint64(d.Epoch), Revision: uint64(d.Revision), Answer: EncodeAnswer(d.Answer),
		Operator: d.Operator, Detail: sanitize(d.Detail, specifier.MaxDecisionDetail), Leader: formatAddr(d.Leader), MemberVersion: d.MemberVersion}
	for _, id := range d.Departed {
		m.Departed = append(m.Departed, EncodeIdentity(id))
	}
	return m
}

// DecodeDecision accepts at most MaxDeparted identities in Departed.
func DecodeDecision(m *Decision) (specifier.Decision, error) {
	c := &checker{}
	decision := c.decision("Decision", m)
	return decision, c.err()
}

func (c *checker) decision(path string, m *Decision) specifier.Decision {
	if !c.require(path, m != nil) {
		return specifier.Decision{}
	}
	decision := specifier.Decision{
		Verdict: oneOf(c, path+".Verdict", m.Verdict, specifier.Accepted, specifier.Attached, specifier.Finished,
			specifier.Conflict, specifier.Stale, specifier.Fenced, specifier.Applied, specifier.Rejected, specifier.Full,
			specifier.NotLeader),
		Owner:         c.optionalIdentity(path+".Owner", m.Owner),
		OwnerAddr:     c.optionalAddr(path+".OwnerAddr", m.OwnerAddr),
		OwnerDown:     m.OwnerDown,
		Epoch:         specifier.Epoch(m.Epoch),
		Revision:      specifier.Revision(m.Revision),
		Answer:        c.optionalAnswer(path+".Answer", m.Answer),
		MemberVersion: m.MemberVersion,
		Operator:      c.text(path+".Operator", m.Operator, specifier.MaxName),
		Detail:        c.text(path+".Detail", m.Detail, specifier.MaxDecisionDetail),
		Leader:        c.optionalAddr(path+".Leader", m.Leader),
	}
	if c.length(path+".Departed", len(m.Departed), specifier.MaxDeparted) {
		for i, id := range m.Departed {
			decision.Departed = append(decision.Departed, c.identity(indexed(path+".Departed", i), id))
		}
	}
	c.verdict(path, decision)
	return decision
}

// verdict checks the fields that must be set with the verdict.
func (c *checker) verdict(path string, decision specifier.Decision) {
	switch decision.Verdict {
	case specifier.Accepted:
		c.epoch(path+".Epoch", uint64(decision.Epoch))
	case specifier.Attached:
		c.epoch(path+".Epoch", uint64(decision.Epoch))
		c.require(path+".Owner", !decision.Owner.IsZero())
	case specifier.Finished:
		c.require(path+".Answer", decision.Answer.Outcome != "")
	}
}
