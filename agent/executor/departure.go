package executor

import (
	"maps"
	"slices"

	"oleandertally/core/specifier"
)

// departure is the state of an agent's shutdown. The zero value is that of an agent that is not leaving.
type departure struct {
	requested           bool                        // the Leaving event has arrived
	workFinished        bool                        // no task is queued or running
	allReleased         bool                        // every entry has released the agent
	unreleased          map[specifier.Identity]bool // entries that have not released the agent
	disconnectedEntries map[specifier.Identity]bool // entries whose stream has ended and that have not reconnected
}

// disconnected records an entry that may wait for results that were lost with its stream.
func (d *departure) disconnected(entry specifier.Identity) {
	if d.disconnectedEntries == nil {
		d.disconnectedEntries = make(map[specifier.Identity]bool)
	}
	d.disconnectedEntries[entry] = true
}

// connected removes the entry from the disconnected ones, together with its earlier incarnations, which expect no results.
func (d *departure) connected(entry specifier.Identity) {
	for other := range d.disconnectedEntries {
		if other.Name == entry.Name {
			delete(d.disconnectedEntries, other)
			delete(d.unreleased, other)
		}
	}
}

// depart continues the departure once no task is queued or running.
func (x *Executor) depart() {
	if !x.departure.requested || !x.Idle() {
		return
	}
	if !x.departure.workFinished {
		x.departure.workFinished = true
		x.departure.unreleased = make(map[specifier.Identity]bool)
		maps.Copy(x.departure.unreleased, x.departure.disconnectedEntries)
		x.actions = append(x.actions, WorkFinished{})
		for _, entry := range slices.SortedFunc(maps.Keys(x.streams), specifier.Identity.Compare) {
			x.requestRelease(entry)
		}
	}
	if len(x.departure.unreleased) == 0 && !x.departure.allReleased {
		x.departure.allReleased = true
		x.actions = append(x.actions, AllReleased{})
	}
}

// requestRelease asks an entry for its release once the work has finished. The request is repeated on a new stream, since
// the answer to the last one may be lost. The agent also waits for an entry whose stream has ended, because that
// entry asks for its results when it reconnects.
func (x *Executor) requestRelease(entry specifier.Identity) {
	if x.departure.workFinished {
		x.departure.unreleased[entry] = true
		x.actions = append(x.actions, RequestRelease{Entry: entry, Load: x.Load()})
	}
}

func (x *Executor) released(e Released) {
	if x.streams[e.Entry] == e.Stream {
		delete(x.departure.unreleased, e.Entry)
	}
}
