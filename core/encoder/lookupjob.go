package encoder

import "oleandertally/core/specifier"

func encodeLookupJob(command specifier.LookupJob) *LookupJob {
	return &LookupJob{Job: command.Job[:], Digest: command.Digest[:]}
}

func (c *checker) lookupJob(m *LookupJob) specifier.LookupJob {
	return specifier.LookupJob{Job: c.job("LookupJob.Job", m.GetJob()), Digest: c.digest("LookupJob.Digest", m.GetDigest())}
}
