package journaler

// Request is one operation with the number under which its sync is reported.
type Request struct {
	Write     uint64 // ascending; 0 for an operation that needs no report
	Operation Operation
}
