package scheduler

import "math/bits"

// index groups agents by how many more tasks they may be sent, so that finding the ones with the most
// room takes constant time at any number of agents.
type index struct {
	levels [maxLevel + 1][]*agent
	mask   uint64 // bit i is set when levels[i] has an agent
}

// maxLevel is the most room that is told apart. Agents with more are equally good.
const maxLevel = 63

// put moves an agent to a level.
func (x *index) put(a *agent, kind lane, level int) {
	level = max(min(level, maxLevel), 0)
	at := &a.at[kind]
	if at.in && at.level == level {
		return
	}
	x.remove(a, kind)
	x.levels[level] = append(x.levels[level], a)
	x.mask |= 1 << level
	*at = place{in: true, level: level, i: len(x.levels[level]) - 1}
}

// remove takes an agent out.
func (x *index) remove(a *agent, kind lane) {
	at := &a.at[kind]
	if !at.in {
		return
	}
	list := x.levels[at.level]
	last := len(list) - 1
	list[at.i] = list[last]
	list[at.i].at[kind].i = at.i
	list[last] = nil
	x.levels[at.level] = list[:last]
	if last == 0 {
		x.mask &^= 1 << at.level
	}
	at.in = false
}

// top returns the highest level with an agent, 0 when no agent has room.
func (x *index) top() int {
	if x.mask == 0 {
		return 0
	}
	return bits.Len64(x.mask) - 1
}

// place is the position of an agent in an index.
type place struct {
	in    bool
	level int
	i     int
}
