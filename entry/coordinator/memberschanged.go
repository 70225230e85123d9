package coordinator

import "oleandertally/core/specifier"

// MembersChanged carries every member that is known, at a version of the replicated membership.
type MembersChanged struct {
	Version uint64
	Members []specifier.Member
}

func (MembersChanged) event() {}
