package scheduler

import (
	"math/rand/v2"
	"time"

	"oleandertally/dispatch/orderer"
)

// LateBinding keeps tasks at the entry until an agent has a free slot. Among agents with free slots it
// draws one at random, weighted by the free slots: entries whose views are equal then spread over all free
// slots instead of choosing the same agent. Only tasks whose key is nearly due may wait at an agent, at the
// one with the shortest queue; the others also leave a few free slots for those.
type LateBinding struct{}

const (
	// lookAhead is how many tasks whose key is nearly due an agent holds beyond its slots. A slot that
	// becomes free then does not wait for a message to an entry, which may hear of it late.
	lookAhead = 3
	// reserveShare is the share of all slots that tasks whose key is not nearly due leave free.
	reserveShare = 0.13
	// fullAfter is the waiting work for each slot of this entry's part from which on no slot is left free.
	// A single wide job of average tasks is below it, sustained overload above.
	fullAfter = 3 * time.Second
	// localBonus makes a free slot in the entry's own zone count as this many elsewhere: it saves 3 ms
	// of messages, which is little against a task of 50 ms to 1 s.
	localBonus = 2
	// startEvery and endAfter are how fast the tasks of other entries in a report are taken as started and
	// ended. Without them an entry that sends an agent nothing hears nothing, and believes it full for ever.
	startEvery = 75 * time.Millisecond  // 8 slots, 0.6 s for each task
	endAfter   = 600 * time.Millisecond // for half of those that ran
	// paceInterval and paceTasks bound how many tasks an agent is sent before it can have answered the
	// first of them, so that a worker that fails everything at once loses few.
	paceInterval = 5 * time.Millisecond
	paceTasks    = 2
)

func (*LateBinding) room(now time.Time, agent *agent, rule rule) [lanes]int {
	slots := agent.slots()
	if slots == 0 {
		return [lanes]int{}
	}
	if now.Before(agent.refusedUntil) {
		return [lanes]int{}
	}
	if now.Sub(agent.paceAt) < paceInterval && agent.paced >= paceTasks {
		return [lanes]int{}
	}
	weight := agent.health.Weight()
	room := max(int(weight*float64(slots)), 1) + lookAhead - agent.othersAt(now) - len(agent.held)
	room = max(min(room, agent.healthLimit(now, slots+lookAhead)-len(agent.held)), 0)
	if weight == 0 {
		room = min(room, 1) // counts as a queue, not as a free slot
	}
	return [lanes]int{room, min(room, longLimit(slots, rule)-agent.long)}
}

// othersAt returns how many tasks of other entries the agent is believed to hold now.
func (a *agent) othersAt(now time.Time) int {
	age := now.Sub(a.reportedAt)
	queued := min(a.load.Queued, a.others)
	return max(queued-int(age/startEvery), 0) + (a.others-queued)>>min(age/endAfter, 8)
}

// longLimit returns how many tasks of the limited lane this entry may hold at a worker of slots slots.
func longLimit(slots int, rule rule) int {
	if rule.lend {
		return max(slots-1, 1)
	}
	limit := orderer.LongLimit(slots, rule.longShare)
	return max((limit+rule.entries-1)/max(rule.entries, 1), 1)
}

func (*LateBinding) pick(pool *pool, kind lane, rule rule, random *rand.Rand) *agent {
	if rule.patient && pool.freeSlots() <= pool.reserve(rule) {
		return nil
	}
	if kind == limited && pool.longFull(rule) {
		return nil
	}
	if chosen := pickWeighted(pool, kind, rule, random, lookAhead+1, maxLevel); chosen != nil || rule.patient {
		return chosen
	}
	for level := lookAhead; level > 0; level-- {
		if chosen := pickWeighted(pool, kind, rule, random, level, level); chosen != nil {
			return chosen
		}
	}
	return nil
}

// longFull reports whether long work of this entry holds as much as it may of the entry's part.
func (p *pool) longFull(rule rule) bool {
	part := float64(p.slots()) / float64(rule.entries)
	return float64(p.long) >= p.short.limit(part, rule.longShare)
}

// reserve returns how many slots tasks whose key is not nearly due leave free: none when so much work waits
// that every slot is needed.
func (p *pool) reserve(rule rule) int {
	slots := p.slots()
	if p.work[free] > time.Duration(slots/rule.entries)*fullAfter {
		return 0
	}
	return int(reserveShare * float64(slots))
}

// freeSlots returns how many slots are believed to be free.
func (p *pool) freeSlots() int {
	total := 0
	for _, zone := range p.zones {
		total += zone.sum(free, lookAhead+1, maxLevel)
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

// pickWeighted draws an agent with a level from low to high, weighted by the level above low and the zone.
func pickWeighted(pool *pool, kind lane, rule rule, random *rand.Rand, low, high int) *agent {
	total := 0
	for _, zone := range pool.zones {
		total += zone.weight(kind, rule, low, high)
	}
	if total == 0 {
		return nil
	}
	drawn := random.IntN(total)
	for _, zone := range pool.zones {
		weight := zone.weight(kind, rule, low, high)
		if drawn < weight {
			return zone.draw(kind, drawn/zone.bonus(rule), low)
		}
		drawn -= weight
	}
	return nil
}

func (z *zone) bonus(rule rule) int {
	if z.name == rule.local {
		return localBonus
	}
	return 1
}

// weight returns the sum of the weights of the agents with levels from low to high. Long work gets
// nothing in a zone where it holds its share.
func (z *zone) weight(kind lane, rule rule, low, high int) int {
	if kind == limited && z.long >= longLimit(z.slots, rule) {
		return 0
	}
	return z.sum(kind, low, high) * z.bonus(rule)
}

// sum adds up the room above low of the agents with levels from low to high.
func (z *zone) sum(kind lane, low, high int) int {
	total := 0
	for level := low; level <= min(high, z.index[kind].top()); level++ {
		total += (level - low + 1) * len(z.index[kind].levels[level])
	}
	return total
}

// draw returns the agent at a position in the order of weights.
func (z *zone) draw(kind lane, at, low int) *agent {
	for level := low; ; level++ {
		list, weight := z.index[kind].levels[level], level-low+1
		if at < weight*len(list) {
			return list[at/weight]
		}
		at -= weight * len(list)
	}
}
