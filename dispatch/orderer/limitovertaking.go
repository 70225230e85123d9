package orderer

import "time"

// passOverShare is the share of a job's time left during which others may pass it over. Admission keeps the
// waiting work within as much of it, which leaves a part for the job itself.
const passOverShare = 0.4

// LimitOvertaking returns the key of a task with the given deadline, moved forward so that the task is not passed over
// until it is too late.
func (k Key) LimitOvertaking(now, deadline time.Time) Key {
	if deadline.IsZero() {
		return k
	}
	latest := now.Add(time.Duration(passOverShare * float64(deadline.Sub(now))))
	if latest.Before(k.At) {
		k.At = latest
	}
	return k
}
