package executor

import (
	"slices"
	"strings"
	"time"

	"oleandertally/core/specifier"
)

// jobRecord is the agent's record of one job and its tasks.
type jobRecord struct {
	owner     specifier.Identity
	epoch     specifier.Epoch
	keepUntil time.Time
	// tasks is a slice, which is searched linearly: a job has one task on most agents, and a map for each job would
	// take most of an agent's memory.
	tasks []*taskRecord
}

// find returns the record of a task, or nil.
func (j *jobRecord) find(task string) *taskRecord {
	for _, known := range j.tasks {
		if known.task == task {
			return known
		}
	}
	return nil
}

// remove deletes the record of a task that has not started.
func (j *jobRecord) remove(task string) {
	j.tasks = slices.DeleteFunc(j.tasks, func(known *taskRecord) bool { return known.task == task })
}

// reports returns the records of the job's tasks, sorted by task.
func (j *jobRecord) reports() []specifier.TaskReport {
	reports := make([]specifier.TaskReport, 0, len(j.tasks))
	for _, known := range j.tasks {
		reports = append(reports, specifier.TaskReport{Task: known.task, State: known.state, Body: known.body, Detail: known.detail})
	}
	slices.SortFunc(reports, func(a, b specifier.TaskReport) int { return strings.Compare(a.Task, b.Task) })
	return reports
}
