package dispatcher

import (
	"cmp"
	"slices"
)

// Zones returns the availability zones that workers have reported or that are evacuated, by name.
func (d *Dispatcher) Zones() []Zone {
	var zones []Zone
	zone := func(name string) *Zone {
		at, found := slices.BinarySearchFunc(zones, name, func(z Zone, name string) int { return cmp.Compare(z.Name, name) })
		if !found {
			zones = slices.Insert(zones, at, Zone{Name: name, Evacuated: d.Recorder.Evacuated(name)})
		}
		return &zones[at]
	}
	for _, name := range d.Recorder.EvacuatedZones() {
		zone(name)
	}
	for _, a := range d.agentsByName {
		if a.zone != "" && a.worker != nil {
			zone(a.zone).Workers++
		}
	}
	return zones
}
