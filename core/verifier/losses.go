package verifier

import "oleandertally/core/recorder"

// losses holds the MemberDown events.
type losses struct {
	downs []recorder.Event
}

func newLosses(events []recorder.Event) losses {
	var l losses
	for _, event := range events {
		if event.Kind == recorder.MemberDown {
			l.downs = append(l.downs, event)
		}
	}
	return l
}

// knownBefore reports whether the incarnation process was recorded as Down before the task of assigned was
// sent. The entry that sends the task decides by its own events; when the assignment is not recorded, an
// event of any process counts. Other must name the incarnation: the name alone would match a live one too.
func (l losses) knownBefore(process string, assigned *recorder.Event) bool {
	for _, down := range l.downs {
		if down.Other != process {
			continue
		}
		if assigned == nil || down.Process == assigned.Process && down.Sequence < assigned.Sequence {
			return true
		}
	}
	return false
}
