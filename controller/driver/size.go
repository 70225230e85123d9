package driver

import (
	"google.golang.org/protobuf/proto"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// commandOverhead is an upper bound of what a batch adds to each of its commands, in bytes.
const commandOverhead = 16

// size returns the encoded size of a command. It also decodes the command, because one that can be encoded but not decoded
// would stop every replica that applies it.
func size(command specifier.Command) (int, error) {
	message := encoder.EncodeCommand(command)
	if _, err := encoder.DecodeCommand(message); err != nil {
		return 0, err
	}
	return proto.Size(message) + commandOverhead, nil
}
