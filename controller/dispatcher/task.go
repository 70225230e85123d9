package dispatcher

import (
	"strconv"
	"strings"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/sharer"
)

// task is one task of a job that has not ended.
type task struct {
	job           *job
	stepNumber    int
	index         int
	name          string // ID.0.STEP.INDEX
	state         taskState
	run           *run // while taskPlaced
	startCount    uint64
	failures      int      // failed runs; counted here only for a transient job
	recordingRuns []uint64 // runs whose ends are being recorded
	avoid         *agent   // agent where it last failed, was refused or stalled
	checkpoint    string   // newest checkpoint
	queuedAs      uint64   // sequence number among the waiting tasks; 0 while it does not wait
	pool          *pool    // where it waits or waited last
	kind          *sharer.Kind[readyTask]
	rack          *group              // workers near its data; nil for none
	work          float64             // core-seconds by its estimate
	place         sharer.BacklogPlace // where the backlog of its kind counts it, unless it is late
	passedAt      uint64              // placement of the pool that found no room for it
	aside         bool                // no worker could hold it; it is in the pool's list of such tasks
	late          bool                // it waits behind the tasks that can end within their objectives
}

// step returns the definition of the task's step.
func (t *task) step() *specifier.Step { return &t.job.Steps[t.stepNumber] }

// coreSeconds returns the work of the task by its estimate.
func (t *task) coreSeconds() float64 {
	return t.step().Estimate.Seconds() * float64(t.step().Resources.MilliCores) / 1000
}

func taskName(id string, step, index int) string {
	return id + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// jobOf returns the ID of the job of a task.
func jobOf(name string) string {
	id, _, _ := strings.Cut(name, ".")
	return id
}

// splitTask reads a name that taskName made.
func splitTask(name string) (id string, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, false
	}
	step, stepErr := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	return parts[0], step, index, stepErr == nil && indexErr == nil && step >= 0 && index >= 0
}
