package dispatcher

import "oleandertally/core/specifier"

// Propose asks the log to commit a command.
type Propose struct{ Command specifier.QueueCommand }
