package scheduler

import "time"

// job is what the scheduler knows of one job with tasks that wait or are held by agents.
type job struct {
	team      string
	forgotten bool // its waiting tasks are not started any more
	waiting   [lanes]int
	pool      *pool
	work      [lanes]time.Duration // expected run time of the waiting tasks
	sent      []*task              // the tasks that agents hold
	delayed   int                  // tasks that are queued again later
}

// note adds a task that was sent.
func (j *job) note(task *task) {
	task.at = len(j.sent)
	j.sent = append(j.sent, task)
}

// ended removes a task; the last one takes its place.
func (j *job) ended(task *task) {
	last := len(j.sent) - 1
	j.sent[task.at] = j.sent[last]
	j.sent[task.at].at = task.at
	j.sent[last] = nil
	j.sent = j.sent[:last]
}
