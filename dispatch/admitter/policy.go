package admitter

import "time"

// Policy decides whether to admit a job. On refusal, retryAfter is the delay after which another attempt may
// succeed, or zero if no later attempt can.
type Policy interface {
	Admit(demand Demand) (ok bool, retryAfter time.Duration)
}
