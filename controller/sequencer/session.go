package sequencer

import "oleandertally/core/specifier"

// session is the open stream of a member.
type session struct {
	member     specifier.Member
	joined     bool                     // recorded in the replicated membership
	unanswered int                      // heartbeats not yet answered with a lease
	needs      []specifier.ServiceShare // of an entry
	load       specifier.Load
	hasLoad    bool // the member has reported a load
	revision   specifier.Revision
	version    uint64 // of the membership that the member has been sent
}
