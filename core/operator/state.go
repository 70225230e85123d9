package operator

import (
	"slices"

	"oleandertally/core/specifier"
)

// State is the state of the system that the leading controller returns to an operator.
type State struct {
	Configuration specifier.Configuration // at the requested revision
	Operator      string                  // the operator who made the newest change
	Members       []specifier.Member      // sorted by name
	Loads         []MemberLoad            // of the members whose load the leader knows
	Controllers   []ControllerStatus
	QueueZones    []QueueZone // sorted by name
}

// Load returns the load of a member, and whether it is known.
func (s State) Load(id specifier.Identity) (specifier.Load, bool) {
	for _, load := range s.Loads {
		if load.Identity == id {
			return load.Load, true
		}
	}
	return specifier.Load{}, false
}

// QueueZone returns an availability zone as the queues use it, and whether they know it.
func (s State) QueueZone(name string) (QueueZone, bool) {
	at := slices.IndexFunc(s.QueueZones, func(zone QueueZone) bool { return zone.Name == name })
	if at < 0 {
		return QueueZone{Name: name}, false
	}
	return s.QueueZones[at], true
}
