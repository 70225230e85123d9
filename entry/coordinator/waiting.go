package coordinator

// waiting is a request that waits for a job's answer.
type waiting struct {
	waiter Waiter
	caller bool // a caller's submission, not another entry or a cancellation
}
