package sequencer

import "oleandertally/core/specifier"

// HeartbeatReceived is a heartbeat of the member that attends on a stream.
type HeartbeatReceived struct {
	Stream    Stream
	Heartbeat specifier.Heartbeat
}

func (HeartbeatReceived) event() {}
