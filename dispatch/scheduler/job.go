package scheduler

import "time"

// job is a job with tasks that wait or are assigned to agents.
type job struct {
	team      string
	abandoned bool // its waiting tasks are no longer started
	waiting   [laneCount]int
	pool      *pool
	work      [laneCount]time.Duration // expected run time of the waiting tasks
	sent      []*task                  // tasks that are assigned to agents
	delayed   int                      // number of tasks that are queued again later
}

// addSent adds a task that was sent.
func (j *job) addSent(task *task) {
	task.sentIndex = len(j.sent)
	j.sent = append(j.sent, task)
}

// removeSent removes a task from the list of sent tasks; the last task moves to its index.
func (j *job) removeSent(task *task) {
	last := len(j.sent) - 1
	j.sent[task.sentIndex] = j.sent[last]
	j.sent[task.sentIndex].sentIndex = task.sentIndex
	j.sent[last] = nil
	j.sent = j.sent[:last]
}
