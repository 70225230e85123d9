package loadplayer

import "time"

// Burst multiplies the rate of one kind, or of all, for a while.
type Burst struct {
	Kind   string // empty for all kinds
	Zone   string // of the callers; empty for all zones
	At     time.Duration
	For    time.Duration
	Factor float64
}

// active reports whether the burst applies to a kind and a zone of callers at a time since the start.
func (b Burst) active(kind, zone string, since time.Duration) bool {
	return (b.Kind == "" || b.Kind == kind) && (b.Zone == "" || b.Zone == zone) && since >= b.At && since < b.At+b.For
}
