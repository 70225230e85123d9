package encoder

import "oleandertally/core/specifier"

func encodeRefuseJob(command specifier.RefuseJob) *RefuseJob {
	return &RefuseJob{Job: command.Job[:], Digest: command.Digest[:], Revision: uint64(command.Revision), Answer: EncodeAnswer(command.Answer)}
}

func (c *checker) refuseJob(m *RefuseJob) specifier.RefuseJob {
	command := specifier.RefuseJob{
		Job:      c.job("RefuseJob.Job", m.GetJob()),
		Digest:   c.digest("RefuseJob.Digest", m.GetDigest()),
		Revision: specifier.Revision(m.GetRevision()),
		Answer:   c.answer("RefuseJob.Answer", m.GetAnswer()),
	}
	if command.Answer.Outcome != specifier.NotRun {
		c.problems.Add("RefuseJob.Answer.Outcome", "is %q, expected NotRun", command.Answer.Outcome)
	}
	return command
}
