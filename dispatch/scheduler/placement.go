package scheduler

import (
	"math/rand/v2"
	"time"
)

// Placement decides which agent gets the next task. Room and Pick are called by the engine alone.
type Placement[P any] interface {
	*P
	// room returns how many more tasks an agent may be sent, by lane; 0: none.
	room(now time.Time, agent *agent, rule rule) [lanes]int
	// pick returns an agent with room for a task of a lane, or nil.
	pick(pool *pool, kind lane, rule rule, random *rand.Rand) *agent
}

// rule is what placements respect besides the agent itself.
type rule struct {
	local     string  // the zone of this entry
	entries   int     // entries that share the agents
	longShare float64 // share of slots that long work may hold
	patient   bool    // the task's key is not nearly due
	lend      bool    // no short work waits or arrived lately, so that long work may take more
}
