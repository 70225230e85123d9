package admitter

import "time"

// ByFinish admits a job when its predicted finish leaves a part of the time to its deadline unused, for
// the error of the prediction and for jobs that overtake it.
type ByFinish struct {
	Share float64 // of the time left that the prediction may use; default 0.35
}

const (
	// defaultShare keeps queues short enough that wide jobs, which narrow ones overtake, still finish.
	defaultShare = 0.35
	// wideShare is what a job may use that needs more than the share on an empty queue. At 4 times the demand, jobs
	// of over 200 tasks that were admitted up to the whole time left just missed their deadlines and wasted 2%.
	wideShare = 0.6
	// minRetry keeps refused callers from coming back faster than the queue can change.
	minRetry = 200 * time.Millisecond
)

// Admit compares the predicted finish with the time left.
func (b ByFinish) Admit(demand Demand) (bool, time.Duration) {
	share := b.Share
	if share <= 0 {
		share = defaultShare
	}
	usable := time.Duration(share * float64(demand.TimeLeft))
	finish := demand.TimeToFinish()
	if finish <= usable {
		return true, 0
	}
	alone := demand
	alone.QueuedWork = 0
	switch {
	case alone.TimeToFinish() > demand.TimeLeft:
		return false, 0 // an empty queue would not help
	case alone.TimeToFinish() > usable && finish <= time.Duration(wideShare*float64(demand.TimeLeft)) && demand.QueuedWork < demand.Work:
		return true, 0 // no queue is short enough to use less than the share
	}
	return false, max(finish-usable, minRetry)
}
