package coordinator

import "oleandertally/core/specifier"

// Propose sends a command to the leading controller. The command is resent on each new stream until
// it is decided, which is safe since every command is idempotent.
type Propose struct {
	Command specifier.Command
}

func (Propose) action() {}
