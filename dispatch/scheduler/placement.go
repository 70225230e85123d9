package scheduler

import (
	"math/rand/v2"
	"time"
)

// Placement decides which agent gets the next task. Only the engine calls the methods.
type Placement[P any] interface {
	*P
	// capacity returns how many more tasks an agent may be sent, by lane; 0 if none.
	capacity(now time.Time, agent *agent, c constraints) [laneCount]int
	// pick returns an agent with capacity for a task of a lane, or nil.
	pick(pool *pool, lane lane, c constraints, random *rand.Rand) *agent
}

// constraints are the inputs of a placement other than the agent.
type constraints struct {
	zone      string  // the zone of this entry
	entries   int     // number of entries that share the agents
	longShare float64 // share of slots that long work may use
	canWait   bool    // the task is not nearly due
	mayBorrow bool    // long work may use more than its share, since no short work arrived recently
}
