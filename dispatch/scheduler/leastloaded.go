package scheduler

import (
	"math/rand/v2"
	"time"
)

// LeastLoaded is a baseline: the agent with the fewest tasks by its last report. Tasks wait at the agents,
// and entries with the same reports choose the same agent.
type LeastLoaded struct{}

func (*LeastLoaded) room(_ time.Time, agent *agent, _ rule) [lanes]int {
	if agent.slots() == 0 {
		return [lanes]int{}
	}
	room := max(maxLevel-agent.tasks(), 1)
	return [lanes]int{room, room}
}

func (*LeastLoaded) pick(pool *pool, kind lane, _ rule, random *rand.Rand) *agent {
	var best *agent
	for _, zone := range pool.zones {
		index := &zone.index[kind]
		top := index.top()
		if top > 0 && (best == nil || top > best.at[kind].level) {
			best = index.levels[top][0]
		}
	}
	return best
}
