package admitter

import (
	"math"
	"time"
)

// ByObjective admits a job that is likely to end within its objective, in the part of the slots that its kind can expect and without
// delaying an admitted job beyond its objective. A job that would end later is admitted only if it can still end while its answer is
// of use, in the slots that arriving work leaves free. The policy answers demand above capacity for longer than callers wait: without
// it jobs wait, miss their objectives, and are refused when nothing can be done for them any more.
type ByObjective struct{}

// Admit compares the predicted time to finish with the objective and the time for which an answer is of use. A refused job may come
// again when the work that is too much has been done beside the work that arrives meanwhile.
func (ByObjective) Admit(demand Demand) (bool, time.Duration) {
	demand.TimeLeft -= time.Duration(ahead(demand.Lead) * float64(max(demand.TimeLeft-demand.Longest, 0)))
	finish := demand.TimeToFinish()
	onTime := demand.QueuedWork <= 0 || finish <= demand.TimeLeft
	if onTime && demand.Displaced <= 0 || demand.LateTimeToFinish() <= demand.UsefulFor {
		return true, 0
	}
	excess := float64(max(finish-demand.TimeLeft, 0))*max(demand.Slots, 1) + float64(demand.Displaced)
	part := max(demand.Slots, 1) / max(demand.AllSlots, 1)
	return false, max(TimeToDrain(time.Duration(excess), demand.Slots, part*demand.Arriving), minRetryDelay)
}

// TimeToDrain returns in what time slots do work that is too much beside the work that arrives, which needs a number of the slots. It
// returns the longest duration if the slots don't suffice for the arriving work, because it is not known when that changes.
func TimeToDrain(work time.Duration, slots, arriving float64) time.Duration {
	spare := max(slots, 1) - arriving
	if spare <= 0 || float64(work)/spare > math.MaxInt64/2 {
		return math.MaxInt64
	}
	return time.Duration(float64(work) / spare)
}

// judgedTasks is the number of tasks by which a job is judged at most.
const judgedTasks = 2

// JudgedWork returns the part of a job's work that counts when it is decided whether to admit the job. Judged by all its work, wide
// jobs are refused more often than narrow ones of the same kind.
func JudgedWork(work float64, tasks int) float64 {
	return work * min(1, judgedTasks/float64(max(tasks, 1)))
}

const (
	// tolerableLead is the difference between two zones' parts of their demand that is left alone.
	tolerableLead = 0.02
	// fullLead is the lead of a zone from which on its jobs may not wait behind others.
	fullLead = 0.1
)

// ahead returns which part of the time that its jobs could wait a zone leaves to the zones that get less.
func ahead(lead float64) float64 {
	return min(max((lead-tolerableLead)/(fullLead-tolerableLead), 0), 1)
}

// startReserve is the part of the time before its latest start in which a waiting job should be predicted to start, when it is decided
// for the last time whether to refuse it. The rest is for jobs with earlier objectives that arrive later.
const startReserve = 0.3

// MayStillEnd reports whether a job that waits is likely to start early enough, or can end while its answer is of use. Its
// own work is not part of the waiting work.
func MayStillEnd(demand Demand) bool {
	wait := demand.TimeToFinish() - demand.Longest
	return wait <= time.Duration(startReserve*float64(demand.TimeLeft-demand.Longest)) || demand.LateTimeToFinish() <= demand.UsefulFor
}
