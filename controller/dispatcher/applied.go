package dispatcher

import "oleandertally/core/specifier"

// Applied reports a committed command.
type Applied struct{ Command specifier.QueueCommand }
