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
	tasks map[string]*record
}

// reports returns the records of the job, by task.
func (h *holding) reports() []specifier.TaskReport {
	reports := make([]specifier.TaskReport, 0, len(h.tasks))
	for _, task := range h.tasks {
		reports = append(reports, specifier.TaskReport{Task: task.key.Task, State: task.state, Body: task.body, Detail: task.detail})
	}
	slices.SortFunc(reports, func(a, b specifier.TaskReport) int { return strings.Compare(a.Task, b.Task) })
	return reports
}
