package scheduler

import (
	"math/rand/v2"
	"time"
)

// TwoChoices is a baseline policy that chooses the less loaded of two random agents. Tasks wait at the agents.
type TwoChoices struct{}

func (*TwoChoices) capacity(_ time.Time, agent *agent, _ constraints) [laneCount]int {
	return oneTaskEach(agent)
}

func (*TwoChoices) pick(pool *pool, lane lane, _ constraints, random *rand.Rand) *agent {
	a, b := anyAgent(pool, lane, random), anyAgent(pool, lane, random)
	if a == nil || a.totalTasks() <= b.totalTasks() {
		return a
	}
	return b
}

// totalTasks returns the estimated number of tasks of all entries at the agent.
func (a *agent) totalTasks() int { return len(a.assigned) + a.otherTasks }
