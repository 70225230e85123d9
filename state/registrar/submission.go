package registrar

// submission is the record of one job. It holds no pointers, so that the garbage collector does
// not visit millions of records.
type submission struct {
	digest   digest
	accepted uint64  // index of the batch that accepted it first, or again after a release
	epoch    uint32  // of its owner
	keep     seconds // on the log's clock
	owner    uint32  // number in Registrar.owners
	answer   uint32  // number in Registrar.answers
	held     seconds // until when a refusal is repeated
	phase    phase
}
