package registrar

import "oleandertally/core/specifier"

// Batch is the list of commands in one log entry.
type Batch = specifier.Batch
