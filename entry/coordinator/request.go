package coordinator

// request is a submission, a cancellation or a request of another entry that waits for a job's answer.
type request struct {
	waiter Waiter
	caller bool // a caller's submission, rather than a cancellation or another entry's request
}
