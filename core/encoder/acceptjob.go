package encoder

import "oleandertally/core/specifier"

func encodeAcceptJob(command specifier.AcceptJob) *AcceptJob {
	return &AcceptJob{Job: command.Job[:], Digest: command.Digest[:], Owner: EncodeIdentity(command.Owner),
		TaskCount: int32(command.TaskCount), Revision: uint64(command.Revision), TimeLeft: int64(command.TimeLeft)}
}

func (c *checker) acceptJob(m *AcceptJob) specifier.AcceptJob {
	return specifier.AcceptJob{
		Job:       c.job("AcceptJob.Job", m.GetJob()),
		Digest:    c.digest("AcceptJob.Digest", m.GetDigest()),
		Owner:     c.identity("AcceptJob.Owner", m.GetOwner()),
		TaskCount: c.count("AcceptJob.TaskCount", m.GetTaskCount(), 1, specifier.MaxTasks),
		Revision:  specifier.Revision(m.GetRevision()),
		TimeLeft:  c.duration("AcceptJob.TimeLeft", m.GetTimeLeft(), 0, specifier.MaxTimeLeft),
	}
}
