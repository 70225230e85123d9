package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
)

// job is a job that has not ended, or a transient one whose outcome is kept for a resubmission.
type job struct {
	specifier.QueuedJob
	queue     specifier.Queue
	arrived   time.Time
	ideal     time.Duration // run time of its longest chain of steps
	due       time.Time     // when it should have ended
	late      time.Time     // after this its end is of no use
	waiters   []waiter
	watchers  []watcher
	tasks     [][]*task
	open      []int // tasks that are not done, by step
	left      int   // tasks that are not done
	started   bool  // a task was started at some time
	recorded  bool
	cancelled bool // its record is being changed, or is Cancelled
	ended     bool
	outcome   specifier.QueueReply // once ended
	forgetAt  time.Time            // once ended or abandoned
}

// lateFactor times the objective is when a job's end is of no use any more.
const lateFactor = 3

func newJob(definition specifier.QueuedJob, queue specifier.Queue, now time.Time) *job {
	j := &job{QueuedJob: definition, queue: queue, arrived: now, ideal: definition.Ideal()}
	for number, step := range definition.Steps {
		var tasks []*task
		for index := range step.Count {
			tasks = append(tasks, &task{job: j, step: number, index: index, name: taskName(definition.ID, number, index)})
		}
		j.tasks = append(j.tasks, tasks)
		j.open = append(j.open, step.Count)
		j.left += step.Count
	}
	objective := queue.Objective(j.ideal)
	j.due, j.late = now.Add(objective), now.Add(lateFactor*objective)
	return j
}

// all calls visit for every task.
func (j *job) all(visit func(*task)) {
	for _, step := range j.tasks {
		for _, each := range step {
			visit(each)
		}
	}
}

// ending reports whether every task is done, running or being recorded: the job may end at any moment.
func (j *job) ending() bool {
	ending := true
	j.all(func(t *task) { ending = ending && t.state >= taskPlaced })
	return ending
}

// unblocked reports whether every task of the steps before the given one is done.
func (j *job) unblocked(step int) bool {
	for _, before := range j.Steps[step].After {
		if j.open[before] > 0 {
			return false
		}
	}
	return true
}
