package encoder

import "oleandertally/core/specifier"

// EncodeAnswer truncates Detail to MaxDetail bytes and returns nil for an answer without an outcome.
func EncodeAnswer(a specifier.Answer) *Answer {
	if a.Outcome == "" {
		return nil
	}
	m := &Answer{Outcome: string(a.Outcome), Reason: string(a.Reason), Detail: sanitize(a.Detail, specifier.MaxDetail),
		MayHaveRun: a.MayHaveRun, RetryAfter: int64(a.RetryAfter)}
	for _, result := range a.Results {
		m.Results = append(m.Results, EncodeResult(result))
	}
	return m
}

// DecodeAnswer accepts at most MaxTasks results of MaxResult bytes each.
func DecodeAnswer(m *Answer) (specifier.Answer, error) {
	c := &checker{}
	answer := c.answer("Answer", m)
	return answer, c.err()
}

func (c *checker) answer(path string, m *Answer) specifier.Answer {
	if !c.require(path, m != nil) {
		return specifier.Answer{}
	}
	answer := specifier.Answer{
		Outcome:    oneOf(c, path+".Outcome", m.Outcome, specifier.Complete, specifier.Failed, specifier.NotRun),
		Reason:     specifier.Reason(c.text(path+".Reason", m.Reason, specifier.MaxName)),
		Detail:     c.text(path+".Detail", m.Detail, specifier.MaxDetail),
		MayHaveRun: m.MayHaveRun,
		RetryAfter: c.duration(path+".RetryAfter", m.RetryAfter, 0, specifier.MaxTimeLeft),
	}
	if m.MayHaveRun && m.Outcome != string(specifier.Failed) {
		c.problems.Add(path+".MayHaveRun", "is set with %s, expected only with Failed", quoted(m.Outcome))
	}
	if len(m.Results) > 0 && m.Outcome != string(specifier.Complete) {
		c.problems.Add(path+".Results", "are set with %s, expected only with Complete", quoted(m.Outcome))
	}
	if c.length(path+".Results", len(m.Results), specifier.MaxTasks) {
		for i, result := range m.Results {
			answer.Results = append(answer.Results, c.result(indexed(path+".Results", i), result))
		}
	}
	return answer
}

func (c *checker) optionalAnswer(path string, m *Answer) specifier.Answer {
	if m == nil {
		return specifier.Answer{}
	}
	return c.answer(path, m)
}
