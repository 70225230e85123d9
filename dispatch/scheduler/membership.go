package scheduler

import (
	"cmp"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// SetMembers replaces the known agents. It returns the tasks held by agents that are gone:
// whether they started is unknown.
func (e *Engine[P, T]) SetMembers(now time.Time, members []specifier.Member) []Assignment {
	e.init()
	e.entries = 0
	known := make(map[specifier.Identity]bool, len(members))
	for _, member := range members {
		switch {
		case member.State == specifier.Down:
		case member.Role == specifier.Entry:
			e.entries++
		case member.Role == specifier.Agent:
			known[member.Identity] = true
			e.setAgent(now, member)
		}
	}
	var lost []Assignment
	for _, pool := range e.order {
		for _, agent := range slices.Clone(pool.agents) {
			if !known[agent.member.Identity] {
				lost = append(lost, e.removeAgent(agent)...)
			}
		}
	}
	return lost
}

// setAgent adds an agent, or replaces what is recorded about it. A change of service or zone comes with a
// new incarnation, and so as another agent.
func (e *Engine[P, T]) setAgent(now time.Time, member specifier.Member) {
	old := e.agents[member.Identity]
	if old == nil {
		pool := e.pool(member.Service)
		old = &agent{pool: pool, zone: pool.zone(member.Zone), held: make(map[specifier.TaskKey]*task),
			load: specifier.Load{Slots: member.Slots}, reportedAt: now}
		old.member = member
		e.agents[member.Identity] = old
		pool.agents = append(pool.agents, old)
		slices.SortFunc(pool.agents, compareAgents)
		old.zone.slots += member.Slots
	}
	old.zone.slots += member.Slots - old.member.Slots
	old.member = member
	e.update(now, old)
}

func (e *Engine[P, T]) removeAgent(gone *agent) []Assignment {
	for kind := range lanes {
		gone.zone.index[kind].remove(gone, kind)
	}
	gone.zone.slots -= gone.member.Slots
	gone.pool.agents = slices.DeleteFunc(gone.pool.agents, func(a *agent) bool { return a == gone })
	e.ejector.Remove(&gone.health)
	delete(e.agents, gone.member.Identity)
	lost := heldBy(gone)
	for _, each := range lost {
		if task, ok := e.release(gone, each.Item.Key); ok {
			e.recycle(task)
		}
	}
	return lost
}

func heldBy(agent *agent) []Assignment {
	var all []Assignment
	for _, task := range agent.held {
		all = append(all, Assignment{Agent: agent.member.Identity, Item: task.item})
	}
	slices.SortFunc(all, func(a, b Assignment) int {
		if a.Item.Order.Less(b.Item.Order) {
			return -1
		}
		return 1
	})
	return all
}

func compareAgents(a, b *agent) int {
	return cmp.Or(cmp.Compare(a.member.Name, b.member.Name), cmp.Compare(a.member.Incarnation, b.member.Incarnation))
}
