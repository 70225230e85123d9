package scheduler

import "math/bits"

// index groups agents by their capacity, the number of tasks that they may still be sent. The agents with the highest
// capacity are found in constant time for any number of agents.
type index struct {
	levels [maxLevel + 1][]*agent
	mask   uint64 // bit i is set if levels[i] has an agent
}

// maxLevel is the highest level. Agents with a higher capacity are treated as equal.
const maxLevel = 63

// set moves an agent to a level.
func (x *index) set(a *agent, lane lane, level int) {
	level = max(min(level, maxLevel), 0)
	pos := &a.positions[lane]
	if pos.present && pos.level == level {
		return
	}
	x.remove(a, lane)
	x.levels[level] = append(x.levels[level], a)
	x.mask |= 1 << level
	*pos = indexPosition{present: true, level: level, i: len(x.levels[level]) - 1}
}

// remove removes an agent.
func (x *index) remove(a *agent, lane lane) {
	pos := &a.positions[lane]
	if !pos.present {
		return
	}
	list := x.levels[pos.level]
	last := len(list) - 1
	list[pos.i] = list[last]
	list[pos.i].positions[lane].i = pos.i
	list[last] = nil
	x.levels[pos.level] = list[:last]
	if last == 0 {
		x.mask &^= 1 << pos.level
	}
	pos.present = false
}

// highest returns the highest level with an agent, or 0 if no agent has capacity.
func (x *index) highest() int {
	if x.mask == 0 {
		return 0
	}
	return bits.Len64(x.mask) - 1
}

// indexPosition is the position of an agent in an index.
type indexPosition struct {
	present bool
	level   int
	i       int
}
