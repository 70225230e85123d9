package scheduler

import (
	"math/rand/v2"
	"time"
)

// TwoChoices is a baseline: the less loaded of two random agents. Tasks wait at the agents.
type TwoChoices struct{}

func (*TwoChoices) room(_ time.Time, agent *agent, _ rule) [lanes]int { return unbounded(agent) }

func (*TwoChoices) pick(pool *pool, kind lane, _ rule, random *rand.Rand) *agent {
	a, b := anyAgent(pool, kind, random), anyAgent(pool, kind, random)
	if a == nil || a.tasks() <= b.tasks() {
		return a
	}
	return b
}

// tasks returns the tasks that the agent is believed to hold for all entries.
func (a *agent) tasks() int { return len(a.held) + a.others }
