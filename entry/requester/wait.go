package requester

import (
	"time"

	"oleandertally/core/specifier"
)

const (
	// A job needs its ideal run time, a margin of that time divided by waitMarginDivisor, and waitMargin for messages, as in the leader's order of
	// tasks.
	waitMarginDivisor = 4
	waitMargin        = 12 * time.Millisecond
	// The end of a job that has waited for more than usefulFactor times its ideal run time is of no use, but a job waits for at least
	// minUsefulWait, in which most leaders are replaced.
	usefulFactor  = 4
	minUsefulWait = 400 * time.Millisecond
	// maxWaitShare bounds the wait by a share of the time for which the caller waits, so that one who is refused has the larger part left for
	// another attempt.
	maxWaitShare = 0.4
	// maxLeaderWait bounds the wait of long jobs. A site that has no leader for longer has lost most of its controllers.
	maxLeaderWait = 5 * time.Second
)

// waitUntil returns how long a job that arrives now may wait for a leader. A transient job waits while it can still end before its caller
// leaves and while its end is of use, but not for most of the time that its caller has, regardless of how long there has been no leader: one may be elected at any moment. A time that has
// passed refuses the job at once. A kept job waits for leaderTimeout, since its caller only waits until it is recorded.
func waitUntil(job specifier.QueuedJob, now, deadline time.Time) time.Time {
	if !job.Transient {
		return now.Add(leaderTimeout)
	}
	ideal := job.IdealRunTime()
	timeLeft := deadline.Sub(now)
	useful := min(max(usefulFactor*ideal, minUsefulWait), maxLeaderWait, time.Duration(maxWaitShare*float64(timeLeft)))
	return now.Add(min(useful, timeLeft-ideal-ideal/waitMarginDivisor-waitMargin))
}
