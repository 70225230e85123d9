package executor

import (
	"maps"
	"slices"

	"oleandertally/core/specifier"
)

// departure is the state of an agent that leaves. The zero value is that of one that stays.
type departure struct {
	asked  bool                        // Leaving came
	ended  bool                        // nothing was queued or running any more
	left   bool                        // every entry has released the agent
	awaits map[specifier.Identity]bool // entries that have not released it
	broken map[specifier.Identity]bool // entries whose stream broke and that have not come back
}

// unlinked remembers an entry that may wait for results that were lost with its stream.
func (d *departure) unlinked(entry specifier.Identity) {
	if d.broken == nil {
		d.broken = make(map[specifier.Identity]bool)
	}
	d.broken[entry] = true
}

// linked forgets a broken stream, also that of an earlier run of the entry, which waits for nothing.
func (d *departure) linked(entry specifier.Identity) {
	for other := range d.broken {
		if other.Name == entry.Name {
			delete(d.broken, other)
			delete(d.awaits, other)
		}
	}
}

// depart goes on with the departure once nothing is queued or running.
func (x *Executor) depart() {
	if !x.departure.asked || !x.Idle() {
		return
	}
	if !x.departure.ended {
		x.departure.ended = true
		x.departure.awaits = make(map[specifier.Identity]bool)
		maps.Copy(x.departure.awaits, x.departure.broken)
		x.out = append(x.out, WorkFinished{})
		for _, entry := range slices.SortedFunc(maps.Keys(x.links), specifier.Identity.Compare) {
			x.requestRelease(entry)
		}
	}
	if len(x.departure.awaits) == 0 && !x.departure.left {
		x.departure.left = true
		x.out = append(x.out, AllReleased{})
	}
}

// requestRelease asks an entry for its release, also on a new stream, since the answer to the last one may be
// lost. An entry whose stream is broken stays awaited: it asks for its results when it comes back.
func (x *Executor) requestRelease(entry specifier.Identity) {
	if x.departure.ended {
		x.departure.awaits[entry] = true
		x.out = append(x.out, RequestRelease{Entry: entry, Load: x.Load()})
	}
}

func (x *Executor) released(e Released) {
	if x.links[e.Entry] == e.Stream {
		delete(x.departure.awaits, e.Entry)
	}
}
