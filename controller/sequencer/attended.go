package sequencer

import "oleandertally/core/specifier"

// Attended is a heartbeat of the member that attends on a stream.
type Attended struct {
	Stream    Stream
	Heartbeat specifier.Heartbeat
}

func (Attended) event() {}
