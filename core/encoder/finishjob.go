package encoder

import "oleandertally/core/specifier"

// encodeFinishJob omits the results, which are stored at the agents.
func encodeFinishJob(command specifier.FinishJob) *FinishJob {
	command.Answer.Results = nil
	return &FinishJob{Job: command.Job[:], Owner: EncodeIdentity(command.Owner), Epoch: uint64(command.Epoch),
		Answer: EncodeAnswer(command.Answer)}
}

func (c *checker) finishJob(m *FinishJob) specifier.FinishJob {
	if len(m.GetAnswer().GetResults()) > 0 {
		c.problems.Add("FinishJob.Answer.Results", "has %d items, expected none", len(m.GetAnswer().GetResults()))
	}
	return specifier.FinishJob{
		Job:    c.job("FinishJob.Job", m.GetJob()),
		Owner:  c.identity("FinishJob.Owner", m.GetOwner()),
		Epoch:  c.epoch("FinishJob.Epoch", m.GetEpoch()),
		Answer: c.answer("FinishJob.Answer", m.GetAnswer()),
	}
}
