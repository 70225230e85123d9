package transcriber

import (
	"time"

	"oleandertally/core/specifier"
)

// Site describes the processes of a session.
type Site struct {
	Service  string
	Zones    []string      // each has one entry
	Workers  int           // assigned to the zones round-robin
	Slots    int           // slots of each worker
	Hop      time.Duration // delay of a message between two processes
	Commit   time.Duration // time from a proposal to its decision
	Lease    time.Duration // time from the loss of a process until it is recorded as down
	Profiles []specifier.Profile
}
