package orderer

import "time"

// overtakingShare is the share of the time to a job's deadline during which other jobs may overtake it. Admission limits
// the waiting work to a similar part of that time, so that the rest remains for the job itself.
const overtakingShare = 0.4

// LimitOvertaking returns the key of a task with the given deadline. A key so late that other tasks could overtake the
// task until its deadline cannot be met is replaced by an earlier one.
func (k Key) LimitOvertaking(now, deadline time.Time) Key {
	if deadline.IsZero() {
		return k
	}
	latest := now.Add(time.Duration(overtakingShare * float64(deadline.Sub(now))))
	if latest.Before(k.At) {
		k.At = latest
	}
	return k
}
