package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

// departures is the list of incarnations that went Down, oldest first.
type departures struct {
	items      []departure
	nextExpiry time.Time // earliest keepUntil of the items
}

func (d *departures) add(added departure) {
	if len(d.items) == 0 || added.keepUntil.Before(d.nextExpiry) {
		d.nextExpiry = added.keepUntil
	}
	d.items = append(d.items, added)
}

func (d *departures) contains(id specifier.Identity) bool {
	for _, item := range d.items {
		if item.identity == id {
			return true
		}
	}
	return false
}

// count returns the number of recorded incarnations of name.
func (d *departures) count(name string) int {
	count := 0
	for _, item := range d.items {
		if item.identity.Name == name {
			count++
		}
	}
	return count
}

// agentsSince returns the agents that went Down in the batch at index or in a later one.
func (d *departures) agentsSince(index uint64) []specifier.Identity {
	var agents []specifier.Identity
	for _, item := range d.items {
		if item.index >= index && item.role == specifier.Agent {
			agents = append(agents, item.identity)
		}
	}
	return agents
}

// extendRetention keeps the departures since index at least until keepUntil. Without it, a job that
// is taken over late could outlive the departures that its new owner must consider.
func (d *departures) extendRetention(index uint64, keepUntil time.Time) {
	for i := range d.items {
		if d.items[i].index >= index && d.items[i].keepUntil.Before(keepUntil) {
			d.items[i].keepUntil = keepUntil
		}
	}
}

// expire removes and returns the expired departures.
func (d *departures) expire(now time.Time) []departure {
	if len(d.items) == 0 || d.nextExpiry.After(now) {
		return nil
	}
	var expired []departure
	remaining := d.items[:0]
	for _, item := range d.items {
		if item.keepUntil.After(now) {
			remaining = append(remaining, item)
			continue
		}
		expired = append(expired, item)
	}
	clear(d.items[len(remaining):])
	d.items = remaining
	d.updateNextExpiry()
	return expired
}

// updateNextExpiry recomputes nextExpiry.
func (d *departures) updateNextExpiry() {
	for i, item := range d.items {
		if i == 0 || item.keepUntil.Before(d.nextExpiry) {
			d.nextExpiry = item.keepUntil
		}
	}
}
