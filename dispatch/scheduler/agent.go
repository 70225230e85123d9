package scheduler

import (
	"time"

	"oleandertally/core/container"
	"oleandertally/core/specifier"
)

// agent is the state of one agent as known to this entry.
type agent struct {
	member    specifier.Member
	connected bool
	zone      *zone
	pool      *pool
	members   [laneCount]container.Member[*agent]

	health       health
	load         specifier.Load // from the last report
	reportedAt   time.Time
	otherTasks   int // tasks of other entries, from the last report
	assigned     map[specifier.TaskKey]*task
	longAssigned int       // assigned tasks in the long lane
	paceStart    time.Time // start of the current pace interval
	sentInPace   int       // tasks sent in the current pace interval

	refusedUntil time.Time // no task is sent before this time, since the agent refused one
}

// slots returns how many tasks the agent can run concurrently.
func (a *agent) slots() int {
	if !a.connected || a.member.State != specifier.Up {
		return 0
	}
	return min(a.member.Slots, a.load.Slots)
}
