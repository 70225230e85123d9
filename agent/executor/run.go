package executor

import (
	"net/netip"
	"time"

	"oleandertally/core/specifier"
)

// Run calls the upstream with a task. Each task is run at most once.
type Run struct {
	Addr     netip.AddrPort
	Key      specifier.TaskKey
	Epoch    specifier.Epoch
	Payload  []byte
	Deadline time.Time
}

func (Run) action() {}
