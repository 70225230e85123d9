package jobrecorder

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// Record is a recorded job and what its tasks have come to.
type Record struct {
	Job   specifier.QueuedJob // without content and steps once it has ended
	State specifier.QueueState
	Done  [][]bool  // by step and task
	Ended time.Time // on the log's clock; zero until then

	remaining int                   // tasks that are not done
	failed    map[position][]uint64 // runs that failed
}

func newRecord(job specifier.QueuedJob) *Record {
	record := &Record{Job: job, remaining: job.Tasks(), failed: make(map[position][]uint64)}
	for _, step := range job.Steps {
		record.Done = append(record.Done, make([]bool, step.Count))
	}
	return record
}

// holds reports whether the job has such a task.
func (r *Record) hasTask(step, index int) bool {
	return step >= 0 && step < len(r.Done) && index >= 0 && index < len(r.Done[step])
}

// Failures returns how many runs of the task have failed.
func (r *Record) Failures(step, index int) int { return len(r.failed[position{step, index}]) }

// ChangedBy reports whether the end of a run changes the record: the task is not done, and the run is not known to have failed.
func (r *Record) ChangedBy(end specifier.TaskEnd) bool {
	return !r.State.Ended() && r.hasTask(end.Step, end.Index) && !r.Done[end.Step][end.Index] &&
		!slices.Contains(r.failed[position{end.Step, end.Index}], end.Run)
}

func (r *Record) end(state specifier.QueueState, now time.Time) {
	r.State, r.Ended = state, now
	r.Job.Content, r.Job.Steps, r.Done, r.failed = "", nil, nil, nil
}
