package estimator

import "time"

// Policy predicts run times in one pool: the declared estimate times the factor of the queue times the pace of the worker, times
// what is known about the run, such as the cost of remote data.
type Policy[W, Q comparable] interface {
	// Pace returns the run time at a worker in relation to that at the typical worker of the pool.
	Pace(now time.Time, worker W) float64
	// ColdPace returns by which factor the runs of a worker take longer while it says that it is cold.
	ColdPace() float64
	// QueueFactor returns the run time of a queue's tasks at the typical worker in relation to their declared estimates.
	QueueFactor(queue Q) float64
	// Ended learns from a run that succeeded.
	Ended(now time.Time, sample Sample[W, Q])
	// Overdue learns from a run that takes longer than expected and has not ended.
	Overdue(now time.Time, sample Sample[W, Q])
	// Forget deletes what is known about a worker.
	Forget(worker W)
}
