package executor

import (
	"slices"
	"strings"
	"time"

	"oleandertally/core/specifier"
)

// holding is what the agent keeps of one job.
type holding struct {
	owner specifier.Identity
	epoch specifier.Epoch
	keep  time.Time
	// tasks is searched one by one: a job has one task at most agents, and a map for each job would take
	// most of an agent's memory.
	tasks []*record
}

// find returns the record of a task, or nil.
func (h *holding) find(task string) *record {
	for _, known := range h.tasks {
		if known.task == task {
			return known
		}
	}
	return nil
}

// remove forgets a task that has not started.
func (h *holding) remove(task string) {
	h.tasks = slices.DeleteFunc(h.tasks, func(known *record) bool { return known.task == task })
}

// reports returns the records of the job, by task.
func (h *holding) reports() []specifier.TaskReport {
	reports := make([]specifier.TaskReport, 0, len(h.tasks))
	for _, known := range h.tasks {
		reports = append(reports, specifier.TaskReport{Task: known.task, State: known.state, Body: known.body, Detail: known.detail})
	}
	slices.SortFunc(reports, func(a, b specifier.TaskReport) int { return strings.Compare(a.Task, b.Task) })
	return reports
}
