package merger

import "time"

// Phase is a part of a job's response time. Each phase is measured on one clock, or is the remainder of a round trip, so
// that clock skew does not affect it. The tag keeps the name that tally prints as JSON.
type Phase struct {
	Name    string
	Spent   time.Duration
	State   PhaseState
	Process string `json:"Where"`
}
