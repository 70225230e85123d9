package scheduler

import (
	"math/rand/v2"
	"time"
)

// Random is a baseline policy that chooses any agent, independent of load. Tasks are sent immediately and wait at the
// agents.
type Random struct{}

func (*Random) capacity(_ time.Time, agent *agent, _ constraints) [laneCount]int {
	return oneTaskEach(agent)
}

func (*Random) pick(pool *pool, lane lane, _ constraints, random *rand.Rand) *agent {
	return anyAgent(pool, lane, random)
}

// oneTaskEach gives every agent with usable slots the same capacity.
func oneTaskEach(agent *agent) [laneCount]int {
	if agent.slots() == 0 {
		return [laneCount]int{}
	}
	return [laneCount]int{1, 1}
}

// anyAgent returns a random agent that has capacity.
func anyAgent(pool *pool, lane lane, random *rand.Rand) *agent {
	count := 0
	for _, zone := range pool.zones {
		count += zone.index[lane].Len(1)
	}
	if count == 0 {
		return nil
	}
	i := random.IntN(count)
	for _, zone := range pool.zones {
		index := &zone.index[lane]
		if i < index.Len(1) {
			return index.At(1, i)
		}
		i -= index.Len(1)
	}
	return nil
}
