package sequencer

import "oleandertally/core/specifier"

// request is a command that waits for the log or is in it. The controller's own commands have stream 0.
type request struct {
	stream   Stream
	sequence uint64
	command  specifier.Command
	size     int // bytes, encoded
}
