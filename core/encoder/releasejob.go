package encoder

import "oleandertally/core/specifier"

func encodeReleaseJob(command specifier.ReleaseJob) *ReleaseJob {
	return &ReleaseJob{Job: command.Job[:], Owner: EncodeIdentity(command.Owner), Epoch: uint64(command.Epoch)}
}

func (c *checker) releaseJob(m *ReleaseJob) specifier.ReleaseJob {
	return specifier.ReleaseJob{
		Job:   c.job("ReleaseJob.Job", m.GetJob()),
		Owner: c.identity("ReleaseJob.Owner", m.GetOwner()),
		Epoch: c.epoch("ReleaseJob.Epoch", m.GetEpoch()),
	}
}
