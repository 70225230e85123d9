package coordinator

import (
	"net/netip"

	"oleandertally/core/specifier"
)

// AskOwner requests the answer of a job from the entry that owns it, and waits for it. With Cancel, the owner
// cancels the job first.
type AskOwner struct {
	Owner  specifier.Identity
	Addr   netip.AddrPort
	Job    specifier.JobID
	Digest specifier.Digest
	Cancel bool
}

func (AskOwner) action() {}
