package sequencer

import "oleandertally/core/recorder"

// Note records an event of the time line.
type Note struct {
	Event recorder.Event
}

func (Note) action() {}
