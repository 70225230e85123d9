package leaseholder

import "oleandertally/core/specifier"

// applyEvacuation applies what an order says of the agent's zone. An older version never replaces a newer one: the order may have been
// delayed, or its leader may be of an earlier version of the program and not know of zones.
func (l *LeaseHolder) applyEvacuation(order specifier.LeaseOrder) {
	if order.EvacuationVersion < l.evacuationVersion {
		return
	}
	if order.Evacuated != l.evacuated {
		event := "EvacuationLifted"
		if order.Evacuated {
			event = "EvacuationApplied"
		}
		l.emit(LogEvent{Event: event, Detail: l.Zone, Count: len(l.runs)})
	}
	l.evacuated, l.evacuationVersion = order.Evacuated, order.EvacuationVersion
}

// confirmEvacuation notes that no start sent before the newest version was applied is under way any more. The leader waits for this
// before it tells the operator that the zone is evacuated, so the agent reports it at once.
func (l *LeaseHolder) confirmEvacuation() {
	if l.confirmedVersion == l.evacuationVersion || l.startUnderWay() {
		return
	}
	l.confirmedVersion = l.evacuationVersion
	if l.evacuated {
		l.report(specifier.LeaseReport{})
	}
}

// startUnderWay reports whether a run may begin that the worker has not confirmed.
func (l *LeaseHolder) startUnderWay() bool {
	for _, run := range l.runs {
		if run.state != runRunning {
			return true
		}
	}
	return false
}
