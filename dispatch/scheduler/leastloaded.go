package scheduler

import (
	"math/rand/v2"
	"time"

	"oleandertally/core/container"
)

// LeastLoaded is a baseline policy that chooses the agent with the fewest tasks in its last report. Tasks wait at the
// agents, and entries with the same reports choose the same agent.
type LeastLoaded struct{}

func (*LeastLoaded) capacity(_ time.Time, agent *agent, _ constraints) [laneCount]int {
	if agent.slots() == 0 {
		return [laneCount]int{}
	}
	free := max(container.MaxLevel-agent.totalTasks(), 1)
	return [laneCount]int{free, free}
}

func (*LeastLoaded) pick(pool *pool, lane lane, _ constraints, random *rand.Rand) *agent {
	var best *agent
	for _, zone := range pool.zones {
		index := &zone.index[lane]
		top := index.Highest()
		if top > 0 && (best == nil || top > best.members[lane].Level()) {
			best = index.At(top, 0)
		}
	}
	return best
}
