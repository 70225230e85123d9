package ejector

import (
	"time"

	"oleandertally/core/specifier"
)

// Outcome is the result of a task on a worker.
type Outcome struct {
	Job       specifier.JobID
	OK        bool
	Sent      time.Time     // when the task was sent to the worker
	RunTime   time.Duration // as measured by the worker
	Expected  time.Duration // mean run time of the profile; 0: unknown
	Threshold int           // consecutive failures that eject a worker; 0: the default
}

const (
	// defaultThreshold applies to a profile that sets no threshold.
	defaultThreshold = 5
	// fastFailureShare is the share of the expected run time below which a failure counts three times. A worker that
	// fails everything immediately looks idle and attracts work, so two such jobs are enough to eject the worker.
	fastFailureShare = 0.1
)

// weight returns the weight of the outcome for a breaker.
func (o Outcome) weight() int {
	switch {
	case o.OK:
		return 0
	case o.RunTime < time.Duration(fastFailureShare*float64(o.Expected)):
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
