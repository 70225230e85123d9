package jobrecorder

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// Record is a recorded job with the results of its tasks.
type Record struct {
	Job   specifier.QueuedJob // without content and steps once it has ended
	State specifier.QueueState
	Done  [][]bool  // by step and task
	Ended time.Time // by the log's clock; zero until the job has ended

	remaining int                   // tasks that are not done
	failed    map[position][]uint64 // failed runs of each task
	size      int                   // bytes that the record takes in a snapshot, about
}

func newRecord(job specifier.QueuedJob) *Record {
	record := &Record{Job: job, remaining: job.TaskCount(), failed: make(map[position][]uint64)}
	for _, step := range job.Steps {
		record.Done = append(record.Done, make([]bool, step.Count))
	}
	return record
}

// hasTask reports whether the job has a task at this step and index.
func (r *Record) hasTask(step, index int) bool {
	return step >= 0 && step < len(r.Done) && index >= 0 && index < len(r.Done[step])
}

// Failures returns how many runs of the task have failed.
func (r *Record) Failures(step, index int) int { return len(r.failed[position{step, index}]) }

// ChangedBy reports whether the end of a run changes the record: the job has not ended, the task is not done, and no failure
// of this run is recorded.
func (r *Record) ChangedBy(end specifier.TaskEnd) bool {
	return !r.State.Ended() && r.hasTask(end.Step, end.Index) && !r.Done[end.Step][end.Index] &&
		!slices.Contains(r.failed[position{end.Step, end.Index}], end.Run)
}

func (r *Record) end(state specifier.QueueState, now time.Time) {
	r.State, r.Ended = state, now
	r.Job.Content, r.Job.Steps, r.Done, r.failed = "", nil, nil, nil
}
