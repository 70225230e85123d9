package registrar

// submission is the record of one job. It contains no pointers, so that the garbage collector does
// not scan millions of records.
type submission struct {
	digest        digest
	acceptedIndex uint64  // log index of the batch of the first acceptance, or of the latest one after a release or refusal
	epoch         uint32  // epoch of the current owner
	keepUntil     seconds // expiry time on the clock of the log
	owner         uint32  // interned in Registrar.owners
	answer        uint32  // interned in Registrar.answers
	refusedUntil  seconds // a resend gets the same refusal until this time
	phase         phase
}
