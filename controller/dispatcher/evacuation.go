package dispatcher

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// evacuation is what the leader knows about an availability zone that is evacuated or about which orders wait.
type evacuation struct {
	zone       string
	proposed   []specifier.QueueVerb // EvacuateZone and RestoreZone in the log that are not committed, oldest first
	closedAt   time.Time             // since when this leader starts nothing in the zone; zero while it may
	version    uint64                // version that the agents of the zone have to apply; 0 before the evacuation is committed
	confirmed  bool                  // no start from before closedAt can begin any more
	restoredAt time.Time             // when the restore was proposed; zero while none is
	evacuating []waiter              // calls that wait until the evacuation is confirmed
	restoring  []waiter              // calls that wait until the restore is committed
}

// closed reports whether this leader starts nothing in the zone.
func (e *evacuation) closed() bool { return !e.closedAt.IsZero() }

// proposes reports whether a change of this kind is in the log and not committed.
func (e *evacuation) proposes(verb specifier.QueueVerb) bool {
	return slices.Contains(e.proposed, verb)
}

// intended returns the change that decides about the zone once all proposed ones are committed.
func (e *evacuation) intended(evacuated bool) specifier.QueueVerb {
	switch {
	case len(e.proposed) > 0:
		return e.proposed[len(e.proposed)-1]
	case evacuated:
		return specifier.EvacuateZone
	}
	return specifier.RestoreZone
}

// settle removes the oldest proposed change of this kind, which was committed or rejected.
func (e *evacuation) settle(verb specifier.QueueVerb) {
	if at := slices.Index(e.proposed, verb); at >= 0 {
		e.proposed = slices.Delete(e.proposed, at, at+1)
	}
}

// idle reports whether nothing has to be known about the zone.
func (e *evacuation) idle() bool {
	return !e.closed() && len(e.proposed) == 0 && len(e.evacuating) == 0 && len(e.restoring) == 0
}
