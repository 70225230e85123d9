package sequencer

import "oleandertally/core/recorder"

// RecordEvent records an event of the time line.
type RecordEvent struct {
	Event recorder.Event
}

func (RecordEvent) action() {}
