package coordinator

import "oleandertally/core/specifier"

// MembersChanged carries all known members at one version of the replicated membership.
type MembersChanged struct {
	Version uint64
	Members []specifier.Member
}

func (MembersChanged) event() {}
