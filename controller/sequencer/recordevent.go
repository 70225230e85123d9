package sequencer

import "oleandertally/core/recorder"

// RecordEvent adds an event to the time line.
type RecordEvent struct {
	Event recorder.Event
}

func (RecordEvent) action() {}
