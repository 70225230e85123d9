package recorder

import (
	"time"

	"oleandertally/core/specifier"
)

// Event is one event of the time line, as its process recorded it.
type Event struct {
	At       time.Time // on the clock of Process; clocks of different hosts differ
	Process  string    // specifier.Identity.String() with the incarnation, so that a restarted process counts as a new one
	Sequence uint64    // number of the event within Process, from 1
	Kind     Kind
	Job      specifier.JobID
	Task     string
	Epoch    specifier.Epoch
	Other    string // the peer: its name or its Identity.String()
	Detail   string
}
