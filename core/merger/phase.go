package merger

import "time"

// Phase is a part of a job's time. Each is measured on one clock, or is what remains of a round
// trip, so that skews don't matter.
type Phase struct {
	Name    string
	Spent   time.Duration
	State   PhaseState
	Process string `json:"Where"`
}
