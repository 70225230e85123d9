package coordinator

import (
	"net/netip"

	"oleandertally/core/specifier"
)

// AskOwner waits at another entry for the answer of a job that it owns.
type AskOwner struct {
	Owner  specifier.Identity
	Addr   netip.AddrPort
	Job    specifier.JobID
	Digest specifier.Digest
	Cancel bool
}

func (AskOwner) action() {}
