package specifier

// RefuseJob records that an entry refuses a submission that is not recorded. An earlier
// submission under the same key may have run, and another copy may be on its way through another
// entry: the decision tells of the first, and the record answers the second the same way for
// RefusalHold. Without it a NotRun answer could be false.
type RefuseJob struct {
	Job      JobID
	Digest   Digest
	Revision Revision // of the configuration that the refusal rests on
	Answer   Answer   // NotRun
}

func (RefuseJob) command() {}
