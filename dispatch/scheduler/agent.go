package scheduler

import "oleandertally/core/specifier"

// agent is what this entry knows of one agent.
type agent struct {
	member specifier.Member
	linked bool
	load   specifier.Load // as last reported
	held   map[specifier.TaskKey]Item
}

// open returns how many more tasks the agent may be sent.
func (a *agent) open() int {
	if !a.linked || a.member.State != specifier.Up {
		return 0
	}
	slots := min(a.member.Slots, a.load.Slots)
	if slots == 0 {
		return 0
	}
	// Tasks of other entries that the agent reported take room too.
	others := max(a.load.Running+a.load.Queued-len(a.held), 0)
	return slots + lookAhead - len(a.held) - others
}

// lookAhead is how many tasks an agent holds beyond its slots, so that a slot that becomes
// free does not wait for a round trip to the entry.
const lookAhead = 1
