package scheduler

import (
	"math/rand/v2"
	"time"
)

// Random is a baseline: any agent, without regard to load. Tasks are sent at once and wait at the agents.
type Random struct{}

func (*Random) room(_ time.Time, agent *agent, _ rule) [lanes]int { return unbounded(agent) }

func (*Random) pick(pool *pool, kind lane, _ rule, random *rand.Rand) *agent {
	return anyAgent(pool, kind, random)
}

// unbounded gives every agent that runs tasks the same room.
func unbounded(agent *agent) [lanes]int {
	if agent.slots() == 0 {
		return [lanes]int{}
	}
	return [lanes]int{1, 1}
}

// anyAgent returns a random agent that has room.
func anyAgent(pool *pool, kind lane, random *rand.Rand) *agent {
	count := 0
	for _, zone := range pool.zones {
		count += len(zone.index[kind].levels[1])
	}
	if count == 0 {
		return nil
	}
	i := random.IntN(count)
	for _, zone := range pool.zones {
		if list := zone.index[kind].levels[1]; i < len(list) {
			return list[i]
		} else {
			i -= len(list)
		}
	}
	return nil
}
