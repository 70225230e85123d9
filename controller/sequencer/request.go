package sequencer

import "oleandertally/core/specifier"

// request is a command on its way through the log. A command of the controller's own has no stream.
type request struct {
	stream   Stream
	sequence uint64
	command  specifier.Command
	size     int // bytes, encoded
}
