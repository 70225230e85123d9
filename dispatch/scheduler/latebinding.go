package scheduler

import (
	"math/rand/v2"
	"time"

	"oleandertally/core/container"
	"oleandertally/dispatch/orderer"
)

// LateBinding keeps tasks at the entry until an agent has a free slot. The agent is drawn at random, weighted by free
// slots, so that entries with equal views spread their tasks over all free slots instead of choosing the same agent.
// Only tasks whose key is nearly due may wait at an agent, at the one with the shortest queue. Other tasks also leave a
// few free slots for nearly due tasks.
type LateBinding struct{}

const (
	// lookAhead is how many nearly due tasks are assigned to an agent beyond its slots. A slot that becomes free is then
	// used immediately, without waiting until an entry learns of the slot and sends a task.
	lookAhead = 3
	// reserveShare is the share of all slots that tasks that are not nearly due leave free.
	reserveShare = 0.13
	// maxReservedWork is the waiting work per slot of this entry's equal part above which no slots are left free. A
	// single wide job of average tasks is below this limit, and sustained overload is above.
	maxReservedWork = 3 * time.Second
	// localZoneWeight is the weight of a free slot in the entry's own zone, relative to other zones. A local slot saves
	// 3 ms of message delay, which is little compared to a task of 50 ms to 1 s.
	localZoneWeight = 2
	// othersStartInterval and othersHalfLife estimate how the tasks of other entries progress after a report: one waiting
	// task starts in each interval, and half of the running tasks end in each half-life. Without this estimate, an entry
	// that sends an agent no tasks gets no reports and assumes forever that the agent is full.
	othersStartInterval = 75 * time.Millisecond // 8 slots, 0.6 s per task
	othersHalfLife      = 600 * time.Millisecond
	// An agent is sent at most paceTasks tasks in each paceInterval, so that a worker that fails everything immediately
	// loses few tasks before its first response arrives.
	paceInterval = 5 * time.Millisecond
	paceTasks    = 2
)

func (*LateBinding) capacity(now time.Time, agent *agent, c constraints) [laneCount]int {
	slots := agent.slots()
	if slots == 0 {
		return [laneCount]int{}
	}
	if now.Before(agent.refusedUntil) {
		return [laneCount]int{}
	}
	if now.Sub(agent.paceStart) < paceInterval && agent.sentInPace >= paceTasks {
		return [laneCount]int{}
	}
	weight := agent.health.Weight()
	free := max(int(weight*float64(slots)), 1) + lookAhead - agent.otherTasksAt(now) - len(agent.assigned)
	free = max(min(free, agent.healthLimit(now, slots+lookAhead)-len(agent.assigned)), 0)
	if weight == 0 {
		free = min(free, 1) // level 1 is a place in the queue, not a free slot
	}
	return [laneCount]int{free, min(free, longLimit(slots, c)-agent.longAssigned)}
}

// otherTasksAt returns the estimated number of tasks that other entries have at the agent now.
func (a *agent) otherTasksAt(now time.Time) int {
	age := now.Sub(a.reportedAt)
	queued := min(a.load.Queued, a.otherTasks)
	return max(queued-int(age/othersStartInterval), 0) + (a.otherTasks-queued)>>min(age/othersHalfLife, 8)
}

// longLimit returns how many tasks of the long lane this entry may assign to a worker or zone with the given number of
// slots.
func longLimit(slots int, c constraints) int {
	if c.mayBorrow {
		return max(slots-1, 1)
	}
	limit := orderer.LongLimit(slots, c.longShare)
	return max((limit+c.entries-1)/max(c.entries, 1), 1)
}

func (*LateBinding) pick(pool *pool, lane lane, c constraints, random *rand.Rand) *agent {
	if c.canWait && pool.freeSlots() <= pool.reservedSlots(c) {
		return nil
	}
	if lane == longLane && pool.longLimitReached(c) {
		return nil
	}
	if chosen := pickWeighted(pool, lane, c, random, lookAhead+1, container.MaxLevel); chosen != nil || c.canWait {
		return chosen
	}
	for level := lookAhead; level > 0; level-- {
		if chosen := pickWeighted(pool, lane, c, random, level, level); chosen != nil {
			return chosen
		}
	}
	return nil
}

// longLimitReached reports whether this entry's long work uses all slots of the entry's equal part that it may use.
func (p *pool) longLimitReached(c constraints) bool {
	part := float64(p.slots()) / float64(c.entries)
	return float64(p.longAssigned) >= p.shortNeed.maxLong(part, c.longShare)
}

// reservedSlots returns how many slots are left free by tasks that are not nearly due. It returns 0 if so much work
// waits that every slot is needed.
func (p *pool) reservedSlots(c constraints) int {
	slots := p.slots()
	if p.work[shortLane] > time.Duration(slots/c.entries)*maxReservedWork {
		return 0
	}
	return int(reserveShare * float64(slots))
}

// freeSlots returns the estimated number of free slots.
func (p *pool) freeSlots() int {
	total := 0
	for _, zone := range p.zones {
		total += zone.sum(shortLane, lookAhead+1, container.MaxLevel)
	}
	return total
}

func (p *pool) slots() int {
	total := 0
	for _, zone := range p.zones {
		total += zone.slots
	}
	return total
}

// pickWeighted draws an agent with a level from low to high, weighted by zone and by level, with weight 1 at low.
func pickWeighted(pool *pool, lane lane, c constraints, random *rand.Rand, low, high int) *agent {
	total := 0
	for _, zone := range pool.zones {
		total += zone.weight(lane, c, low, high)
	}
	if total == 0 {
		return nil
	}
	drawn := random.IntN(total)
	for _, zone := range pool.zones {
		weight := zone.weight(lane, c, low, high)
		if drawn < weight {
			return zone.draw(lane, drawn/zone.multiplier(c), low)
		}
		drawn -= weight
	}
	return nil
}

func (z *zone) multiplier(c constraints) int {
	if z.name == c.zone {
		return localZoneWeight
	}
	return 1
}

// weight returns the sum of the weights of the agents with levels from low to high. The weight is 0 for long work in a
// zone where long work already uses its share.
func (z *zone) weight(lane lane, c constraints, low, high int) int {
	if lane == longLane && z.longAssigned >= longLimit(z.slots, c) {
		return 0
	}
	return z.sum(lane, low, high) * z.multiplier(c)
}

// sum returns the sum of the weights by level of the agents with levels from low to high.
func (z *zone) sum(lane lane, low, high int) int {
	total := 0
	for level := low; level <= min(high, z.index[lane].Highest()); level++ {
		total += (level - low + 1) * z.index[lane].Len(level)
	}
	return total
}

// draw returns the agent at a position in the cumulative weights.
func (z *zone) draw(lane lane, at, low int) *agent {
	for level := low; ; level++ {
		count, weight := z.index[lane].Len(level), level-low+1
		if at < weight*count {
			return z.index[lane].At(level, at/weight)
		}
		at -= weight * count
	}
}
