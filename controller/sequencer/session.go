package sequencer

import "oleandertally/core/specifier"

// session is the open stream of a member.
type session struct {
	member     specifier.Member
	joined     bool                     // recorded in the replicated membership
	unanswered int                      // heartbeats not yet answered with a lease
	needs      []specifier.ServiceShare // for an entry: the slots that its teams could use
	load       specifier.Load
	hasLoad    bool // the member has reported a load
	revision   specifier.Revision
	version    uint64 // version of the membership that was last sent to the member
}
