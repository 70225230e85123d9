package scheduler

import (
	"time"

	"oleandertally/core/specifier"
)

// job is what the scheduler knows of one job with tasks that wait or are held by agents.
type job struct {
	team      string
	forgotten bool // its waiting tasks are not started any more
	waiting   [lanes]int
	pool      *pool
	work      [lanes]time.Duration // expected run time of the waiting tasks
	sent      []sent               // including tasks that have ended
	held      int
	delayed   int // tasks that are queued again later
}

// sent is a task that was sent to an agent.
type sent struct {
	agent *agent
	key   specifier.TaskKey
}
