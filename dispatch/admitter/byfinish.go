package admitter

import "time"

// ByFinish admits a job when its predicted time to finish is at most a share of the time to its deadline. The rest is
// a reserve for prediction errors and for jobs that overtake this one.
type ByFinish struct {
	Share float64 // share of the time to the deadline that the predicted time to finish may use; default 0.35
}

const (
	// defaultShare keeps queues short enough that wide jobs still finish although narrow jobs overtake them.
	defaultShare = 0.35
	// wideShare applies to a job that would exceed the normal share even with an empty queue. At a demand of 4 times the
	// capacity of the slots, jobs of over 200 tasks that may use all of the time left narrowly miss their deadlines, which
	// wastes 2% of the work.
	wideShare = 0.6
	// minRetryDelay prevents refused callers from retrying faster than the queue can change.
	minRetryDelay = 200 * time.Millisecond
)

// Admit compares the predicted time to finish with the time to the deadline.
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
	unqueued := demand
	unqueued.QueuedWork = 0
	switch {
	case unqueued.TimeToFinish() > demand.TimeLeft:
		return false, 0 // the deadline is too early even for an empty queue
	case unqueued.TimeToFinish() > usable && finish <= time.Duration(wideShare*float64(demand.TimeLeft)) && demand.QueuedWork < demand.Work:
		return true, 0 // waiting does not help: the job exceeds the share even with an empty queue
	}
	return false, max(finish-usable, minRetryDelay)
}
