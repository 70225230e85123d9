package transcriber

import (
	"time"

	"oleandertally/core/specifier"
)

// Site describes the processes of a session.
type Site struct {
	Service  string
	Zones    []string // one entry in each
	Workers  int      // over the zones in turn
	Slots    int      // of each worker
	Hop      time.Duration
	Commit   time.Duration // from a proposal to its decision
	Lease    time.Duration // from the loss of a process to its record as down
	Profiles []specifier.Profile
}
