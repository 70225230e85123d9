package scheduler

import (
	"time"

	"oleandertally/core/specifier"
)

// agent is what this entry knows of one agent.
type agent struct {
	member specifier.Member
	linked bool
	zone   *zone
	pool   *pool
	at     [lanes]place

	health     health
	load       specifier.Load // as last reported
	reportedAt time.Time
	others     int // tasks of other entries, as of the last report
	held       map[specifier.TaskKey]*task
	long       int       // held tasks in the limited lane
	paceAt     time.Time // start of the current pace interval
	paced      int       // tasks sent in it

	refusedUntil time.Time // it gets no task before
}

// slots returns how many tasks the agent can run at once.
func (a *agent) slots() int {
	if !a.linked || a.member.State != specifier.Up {
		return 0
	}
	return min(a.member.Slots, a.load.Slots)
}
