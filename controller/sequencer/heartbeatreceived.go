package sequencer

import "oleandertally/core/specifier"

// HeartbeatReceived carries a heartbeat of the member on a stream.
type HeartbeatReceived struct {
	Stream    Stream
	Heartbeat specifier.Heartbeat
}

func (HeartbeatReceived) event() {}
