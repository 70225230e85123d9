package jobrecorder

import (
	"maps"
	"slices"
)

// Evacuated reports whether no task may be started in the availability zone.
func (r *Recorder) Evacuated(zone string) bool { return r.evacuatedZones[zone] }

// AnyEvacuated reports whether a zone is evacuated.
func (r *Recorder) AnyEvacuated() bool { return len(r.evacuatedZones) > 0 }

// EvacuatedZones returns the availability zones in which no task may be started, sorted.
func (r *Recorder) EvacuatedZones() []string { return slices.Sorted(maps.Keys(r.evacuatedZones)) }

// EvacuationVersion returns the number of changes of the set of evacuated zones.
func (r *Recorder) EvacuationVersion() uint64 { return r.evacuationVersion }

// setEvacuated changes the set. A command that repeats an earlier one leaves the version as it is, so that agents need not confirm
// again what they have applied.
func (r *Recorder) setEvacuated(zone string, evacuated bool) {
	if r.evacuatedZones[zone] == evacuated {
		return
	}
	r.evacuationVersion++
	if evacuated {
		r.evacuatedZones[zone] = true
	} else {
		delete(r.evacuatedZones, zone)
	}
}
