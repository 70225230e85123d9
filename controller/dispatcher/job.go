package dispatcher

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// job is a job that has not ended, or an ended transient job whose outcome is kept for a resubmission.
type job struct {
	specifier.QueuedJob
	queue        specifier.Queue
	zone         string  // of the entry that took it
	factor       float64 // by which the estimates of its steps exceed those that the caller declared
	arrived      time.Time
	criticalPath time.Duration // run time of its longest chain of steps
	due          time.Time     // objective for its end
	expiresAt    time.Time     // a transient job that has not started by then is refused
	waiters      []waiter
	watchers     []watcher
	// removedQueueWaiters are the cancellations that came by the path of a queue that the manifest does not define any more.
	removedQueueWaiters []waiter
	tasks               [][]*task
	openTasks           []int // number of tasks that are not done, by step
	remaining           int   // number of tasks that are not done
	started             bool  // at least one task was started
	recorded            bool
	held                bool // starts nothing before the recovery has ended
	unannounced         bool // starts nothing before its announcement is committed
	cancelled           bool // its cancellation is proposed or committed
	ended               bool
	outcome             specifier.QueueReply // once ended
	evictAt             time.Time            // when it is deleted, once ended or abandoned
	decideAt            time.Time            // when it is decided for the last time whether to refuse it for want of room
	decided             bool                 // decideAt has passed
	lastAgent           *agent               // where its last task was started
}

// expiryFactor times the objective is the time after which the end of a job is useless to its caller.
const expiryFactor = 3

// decisionDivisor of the objective by estimate is the time after which a job that waits is refused or kept. Callers should learn of a
// refusal within a quarter of the objective by the true run time, which is shorter when the estimate is too long. A quarter of the
// estimated one doubled the refusals that come too late (local/loadplayer, small-crest and wide-lost).
const decisionDivisor = 6

// newJob returns a job that has the estimates of its definition times a factor, by which those of its queue are usually exceeded.
func newJob(definition specifier.QueuedJob, queue specifier.Queue, now time.Time, factor float64) *job {
	definition.Steps = slices.Clone(definition.Steps)
	for number := range definition.Steps {
		step := &definition.Steps[number]
		step.Estimate = time.Duration(float64(step.Estimate) * factor)
	}
	j := &job{QueuedJob: definition, queue: queue, factor: factor, arrived: now, criticalPath: definition.IdealRunTime()}
	for number, step := range definition.Steps {
		var tasks []*task
		for index := range step.Count {
			tasks = append(tasks, &task{job: j, stepNumber: number, index: index, name: taskName(definition.ID, number, index)})
		}
		j.tasks = append(j.tasks, tasks)
		j.openTasks = append(j.openTasks, step.Count)
		j.remaining += step.Count
	}
	objective := queue.Objective(j.criticalPath)
	j.due, j.expiresAt = now.Add(objective), now.Add(expiryFactor*objective)
	j.decideAt = now.Add(objective/decisionDivisor - startMargin)
	return j
}

// declared returns the estimate of a step that the caller declared.
func (j *job) declared(step int) time.Duration {
	return time.Duration(float64(j.Steps[step].Estimate) / j.factor)
}

// eachTask calls visit for every task.
func (j *job) eachTask(visit func(*task)) {
	for _, step := range j.tasks {
		for _, each := range step {
			visit(each)
		}
	}
}

// mayEnd reports whether every task is done, running or being recorded, so that the job may end at any moment.
func (j *job) mayEnd() bool {
	ending := true
	j.eachTask(func(t *task) { ending = ending && t.state >= taskPlaced })
	return ending
}

// blocked reports whether no task of the job may start now: its caller has left, it is not recorded yet although it is to be kept, or it
// is not certain that none is running.
func (j *job) blocked() bool {
	return j.held || j.unannounced || j.Transient && len(j.waiters) == 0 || !j.Transient && !j.recorded
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// unblocked reports whether every task of the steps before the given one is done.
func (j *job) unblocked(step int) bool {
	for _, before := range j.Steps[step].After {
		if j.openTasks[before] > 0 {
			return false
		}
	}
	return true
}
