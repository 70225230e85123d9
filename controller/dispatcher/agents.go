package dispatcher

import (
	"slices"
	"strings"
	"time"
)

const (
	// minRenewInterval and maxRenewInterval bound the time between two renewals of an agent.
	minRenewInterval = 100 * time.Millisecond
	maxRenewInterval = 300 * time.Millisecond
	// maxRenewalRate bounds the renewals of all agents together, in renewals a second. Renewals of 240 agents every 100 ms take a
	// quarter of a core of the leading controller.
	maxRenewalRate = 1200
	// staleRenewals is the number of missed renewals after which no task is started at an agent.
	staleRenewals = 3
)

// renewAfter returns how often agents should renew their grants: less often the more agents there are.
func (d *Dispatcher) renewAfter() time.Duration {
	return min(max(time.Duration(len(d.agentsByName))*time.Second/maxRenewalRate, minRenewInterval), maxRenewInterval)
}

func compareAgents(a, b *agent) int { return strings.Compare(a.name, b.name) }

// addAgent adds an agent. The list by name is kept sorted, because it is read at every event.
func (d *Dispatcher) addAgent(a *agent) {
	d.agents[a.name] = a
	at, _ := slices.BinarySearchFunc(d.agentsByName, a, compareAgents)
	d.agentsByName = slices.Insert(d.agentsByName, at, a)
}

func (d *Dispatcher) removeAgent(a *agent) {
	delete(d.agents, a.name)
	d.leavePool(a)
	if at, found := slices.BinarySearchFunc(d.agentsByName, a, compareAgents); found {
		d.agentsByName = slices.Delete(d.agentsByName, at, at+1)
	}
}

// joinPool makes the agent's worker one of a pool.
func (d *Dispatcher) joinPool(a *agent, p *pool) {
	if a.pool == p {
		return
	}
	d.leavePool(a)
	a.pool, a.place.Worker, a.pace = p, a, 1
	at, _ := slices.BinarySearchFunc(p.agents, a, compareAgents)
	p.agents = slices.Insert(p.agents, at, a)
}

func (d *Dispatcher) leavePool(a *agent) {
	if a.pool == nil {
		return
	}
	d.leaveGroups(a)
	a.pool.estimates.Forget(a.name)
	a.pool.workers.Remove(&a.place)
	a.pool.agents = slices.DeleteFunc(a.pool.agents, func(other *agent) bool { return other == a })
	a.pool = nil
}
