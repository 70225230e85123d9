package dispatcher

import (
	"slices"
	"strings"
)

func compareAgents(a, b *agent) int { return strings.Compare(a.name, b.name) }

// addAgent adds an agent. The list by name is kept sorted, because it is read at every event.
func (d *Dispatcher) addAgent(a *agent) {
	d.agents[a.name] = a
	at, _ := slices.BinarySearchFunc(d.agentsByName, a, compareAgents)
	d.agentsByName = slices.Insert(d.agentsByName, at, a)
}

func (d *Dispatcher) removeAgent(a *agent) {
	delete(d.agents, a.name)
	if at, found := slices.BinarySearchFunc(d.agentsByName, a, compareAgents); found {
		d.agentsByName = slices.Delete(d.agentsByName, at, at+1)
	}
}
