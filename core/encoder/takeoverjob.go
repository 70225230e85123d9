package encoder

import "oleandertally/core/specifier"

func encodeTakeOverJob(command specifier.TakeOverJob) *TakeOverJob {
	return &TakeOverJob{Job: command.Job[:], Digest: command.Digest[:], Owner: EncodeIdentity(command.Owner),
		Replaces: uint64(command.Replaces), Revision: uint64(command.Revision), TimeLeft: int64(command.TimeLeft)}
}

func (c *checker) takeOverJob(m *TakeOverJob) specifier.TakeOverJob {
	return specifier.TakeOverJob{
		Job:      c.job("TakeOverJob.Job", m.GetJob()),
		Digest:   c.digest("TakeOverJob.Digest", m.GetDigest()),
		Owner:    c.identity("TakeOverJob.Owner", m.GetOwner()),
		Replaces: c.epoch("TakeOverJob.Replaces", m.GetReplaces()),
		Revision: specifier.Revision(m.GetRevision()),
		TimeLeft: c.duration("TakeOverJob.TimeLeft", m.GetTimeLeft(), 0, specifier.MaxTimeLeft),
	}
}
