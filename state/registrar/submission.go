package registrar

import (
	"time"

	"oleandertally/core/specifier"
)

// submission is the record of one job.
type submission struct {
	digest   specifier.Digest
	owner    specifier.Identity
	epoch    specifier.Epoch
	accepted uint64    // index of the batch that first accepted it
	keep     time.Time // on the log's clock
	released bool      // no task has started under epoch and none will
	finished bool
	answer   specifier.Answer // without results
}
