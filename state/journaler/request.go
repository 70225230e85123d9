package journaler

// Request is one operation to commit.
type Request struct {
	Write     uint64 // ascending number that is reported once the operation is durable; 0 for no report
	Operation Operation
}
