package scheduler

import (
	"cmp"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// SetMembers replaces the known agents. It returns the tasks that were assigned to departed agents; whether these tasks
// started is unknown.
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
	for _, pool := range e.sortedPools {
		for _, agent := range slices.Clone(pool.agents) {
			if !known[agent.member.Identity] {
				lost = append(lost, e.removeAgent(agent)...)
			}
		}
	}
	return lost
}

// setAgent adds an agent or replaces its membership record. A change of service or zone implies a new incarnation, which
// is a different agent here.
func (e *Engine[P, T]) setAgent(now time.Time, member specifier.Member) {
	existing := e.agents[member.Identity]
	if existing == nil {
		pool := e.pool(member.Service)
		existing = &agent{pool: pool, zone: pool.zone(member.Zone), assigned: make(map[specifier.TaskKey]*task),
			load: specifier.Load{Slots: member.Slots}, reportedAt: now}
		existing.member = member
		for lane := range laneCount {
			existing.members[lane].Item = existing
		}
		e.agents[member.Identity] = existing
		pool.agents = append(pool.agents, existing)
		slices.SortFunc(pool.agents, compareAgents)
		existing.zone.slots += member.Slots
	}
	existing.zone.slots += member.Slots - existing.member.Slots
	existing.member = member
	e.updateIndex(now, existing)
}

func (e *Engine[P, T]) removeAgent(removed *agent) []Assignment {
	for lane := range laneCount {
		removed.zone.index[lane].Remove(&removed.members[lane])
	}
	removed.zone.slots -= removed.member.Slots
	removed.pool.agents = slices.DeleteFunc(removed.pool.agents, func(a *agent) bool { return a == removed })
	e.ejector.Remove(&removed.health)
	delete(e.agents, removed.member.Identity)
	lost := assignmentsOf(removed)
	for _, each := range lost {
		if task, ok := e.unassign(removed, each.Item.Key); ok {
			e.recycle(task)
		}
	}
	return lost
}

func assignmentsOf(agent *agent) []Assignment {
	var all []Assignment
	for _, task := range agent.assigned {
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
