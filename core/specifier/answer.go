package specifier

import "time"

// Answer is the complete answer to one submission.
type Answer struct {
	Outcome    Outcome
	Reason     Reason        // empty when Complete
	Detail     string        // for people: names the field or the task
	MayHaveRun bool          // only with Failed
	RetryAfter time.Duration // only with NotRun; 0 when a retry does not help
	Results    []Result      // only with Complete, in the order of the job's tasks
}

// Refuse returns a NotRun answer.
func Refuse(reason Reason, detail string) Answer {
	return Answer{Outcome: NotRun, Reason: reason, Detail: detail}
}

// Fail returns a Failed answer.
func Fail(reason Reason, detail string, mayHaveRun bool) Answer {
	return Answer{Outcome: Failed, Reason: reason, Detail: detail, MayHaveRun: mayHaveRun}
}
