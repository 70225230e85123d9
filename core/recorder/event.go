package recorder

import (
	"time"

	"oleandertally/core/specifier"
)

// Event is one entry of the time line.
type Event struct {
	At       time.Time // on the clock of Process; not comparable between hosts
	Process  string    // specifier.Identity.String() of the run, so that a restart is a lane of its own
	Sequence uint64    // counts the events of Process from 1
	Kind     Kind
	Job      specifier.JobID
	Task     string
	Epoch    specifier.Epoch
	Other    string // the peer, by name or by Identity.String()
	Detail   string
}
