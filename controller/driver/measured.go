package driver

import (
	"oleandertally/controller/dispatcher"
	"oleandertally/core/specifier"
)

// Measured answers Measure.
type Measured struct {
	Ticket      uint64
	Term        uint64
	Leading     bool
	Commit      uint64
	Applied     uint64
	Submissions int
	Revision    specifier.Revision
	Members     []specifier.Member
	Waiting     []dispatcher.WaitingTasks
}
