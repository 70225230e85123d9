package verifier

import (
	"fmt"
	"time"

	"oleandertally/core/recorder"
)

// drainHolds compares only times on the clock of one agent.
func drainHolds(events []recorder.Event, gracePeriod time.Duration) []Violation {
	var found []Violation
	drains := make(map[string]recorder.Event)
	for _, event := range events {
		drain, draining := drains[event.Process]
		switch event.Kind {
		case recorder.MemberDraining:
			if !draining {
				drains[event.Process] = event
			}
		case recorder.MemberResumed:
			delete(drains, event.Process)
		case recorder.TaskStarted:
			if draining && event.At.After(drain.At.Add(gracePeriod)) {
				found = append(found, Violation{Rule: DrainHolds, Event: event, Others: []recorder.Event{drain},
					Detail: fmt.Sprintf("started %v after the drain, expected at most %v", event.At.Sub(drain.At), gracePeriod)})
			}
		}
	}
	return found
}
