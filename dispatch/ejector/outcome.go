package ejector

import (
	"time"

	"oleandertally/core/specifier"
)

// Outcome is how a task ended on a worker.
type Outcome struct {
	Job       specifier.JobID
	OK        bool
	Sent      time.Time     // when the task was sent to the worker
	RunTime   time.Duration // as the worker measured it
	Expected  time.Duration // mean run time of the profile; 0: not known
	Threshold int           // failures in a row that eject a worker; 0: the default
}

const (
	// defaultThreshold is the value of a profile that sets none.
	defaultThreshold = 5
	// fastShare of the expected run time is how soon a failure must come to count three times: a worker
	// that fails everything at once looks idle and draws work, so that two such jobs are enough.
	fastShare = 0.1
)

// weight returns what the outcome adds to a breaker.
func (o Outcome) weight() int {
	switch {
	case o.OK:
		return 0
	case o.RunTime < time.Duration(fastShare*float64(o.Expected)):
		return 3
	}
	return 1
}

func (o Outcome) threshold() int {
	if o.Threshold <= 0 {
		return defaultThreshold
	}
	return o.Threshold
}
