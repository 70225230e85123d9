package registrar

import "oleandertally/core/specifier"

// Batch is the content of one log entry.
type Batch = specifier.Batch
