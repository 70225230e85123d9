package sequencer

import "oleandertally/core/specifier"

// Attended is a presence of the member that attends on a stream.
type Attended struct {
	Stream   Stream
	Presence specifier.Presence
}

func (Attended) event() {}
