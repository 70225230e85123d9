package dispatcher

import "oleandertally/dispatch/placer"

// membership is an agent's place in a group.
type membership struct {
	group *group
	place placer.Place[*agent]
}

// unindex removes the place from the index of the group, if it has one.
func (m *membership) unindex() {
	if m.group.index != nil {
		m.group.index.Remove(&m.place)
	}
}

// reindex updates the place in the index.
func (m *membership) reindex(a *agent) {
	if m.group.index != nil {
		m.group.index.Set(&m.place, a.pace, a.free().MilliCores, a.worker.Capacity.MilliCores)
	}
}
