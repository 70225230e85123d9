package dispatcher

import "oleandertally/core/specifier"

// Rejected is a command of this controller that the log did not take.
type Rejected struct{ Command specifier.QueueCommand }
