package sequencer

import "oleandertally/core/specifier"

// Push sends an update to the member on a stream.
type Push struct {
	Stream Stream
	Update specifier.Update
}

func (Push) action() {}
