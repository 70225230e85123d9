package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

// departures holds the incarnations that went Down, oldest first.
type departures struct {
	items []departure
	next  time.Time // no departure is forgotten before
}

func (d *departures) add(added departure) {
	if len(d.items) == 0 || added.keep.Before(d.next) {
		d.next = added.keep
	}
	d.items = append(d.items, added)
}

func (d *departures) has(id specifier.Identity) bool {
	for _, known := range d.items {
		if known.identity == id {
			return true
		}
	}
	return false
}

// count returns how many incarnations of name are held.
func (d *departures) count(name string) int {
	count := 0
	for _, known := range d.items {
		if known.identity.Name == name {
			count++
		}
	}
	return count
}

// agentsSince returns the agents that went Down in the batch at index or later.
func (d *departures) agentsSince(index uint64) []specifier.Identity {
	var gone []specifier.Identity
	for _, known := range d.items {
		if known.index >= index && known.role == specifier.Agent {
			gone = append(gone, known.identity)
		}
	}
	return gone
}

// extend keeps what departed since index at least until keep. A submission that is taken over
// late outlives the time that its departures were given.
func (d *departures) extend(index uint64, keep time.Time) {
	for i := range d.items {
		if d.items[i].index >= index && d.items[i].keep.Before(keep) {
			d.items[i].keep = keep
		}
	}
}

// forget removes the departures whose time is over and returns them.
func (d *departures) forget(now time.Time) []departure {
	if len(d.items) == 0 || d.next.After(now) {
		return nil
	}
	var over []departure
	kept := d.items[:0]
	for _, known := range d.items {
		if known.keep.After(now) {
			kept = append(kept, known)
			continue
		}
		over = append(over, known)
	}
	clear(d.items[len(kept):])
	d.items = kept
	d.schedule()
	return over
}

// schedule sets next to the earliest time of a departure.
func (d *departures) schedule() {
	for i, known := range d.items {
		if i == 0 || known.keep.Before(d.next) {
			d.next = known.keep
		}
	}
}
