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
	held       map[specifier.TaskKey]*held
	long       int       // held tasks in the limited lane
	paceAt     time.Time // start of the current pace interval
	paced      int       // tasks sent in it

	refusedUntil time.Time // it gets no task before
}

// held is a task that an agent was sent and has not answered.
type held struct {
	item     Item
	agent    *agent
	lane     lane
	sent     time.Time
	attempts int
	job      *job
	at       int // position in the job's list
}

// slots returns how many tasks the agent can run at once.
func (a *agent) slots() int {
	if !a.linked || a.member.State != specifier.Up {
		return 0
	}
	return min(a.member.Slots, a.load.Slots)
}
