package specifier

// RefuseJob records that an entry refuses a submission that has no record. An earlier submission
// under the same key may have run, and another copy may be in flight through another entry. The
// decision reports the earlier submission, and the record gives the copy the same answer for
// RefusalRetention. Without the record a NotRun answer could be false.
type RefuseJob struct {
	Job      JobID
	Digest   Digest
	Revision Revision // revision of the configuration that the refusal is based on
	Answer   Answer   // NotRun
}

func (RefuseJob) command() {}
