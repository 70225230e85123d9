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

// before reports whether the run process was known as down when the task of assigned was sent.
// The entry that sends decides on its own knowledge; when the assignment is not recorded, any
// process's knowledge counts. Other must name the run: the name alone would cover a live run too.
func (l losses) before(process string, assigned *recorder.Event) bool {
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
