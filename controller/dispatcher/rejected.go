package dispatcher

import "oleandertally/core/specifier"

// Rejected reports that the log did not accept a command of this controller.
type Rejected struct {
	Command  specifier.QueueCommand
	TooLarge bool // the log never takes the command
}
