package coordinator

// waiting is a request that waits for a job's answer.
type waiting struct {
	waiter Waiter
	caller bool // a caller's submission, rather than a cancellation or another entry's request
}
