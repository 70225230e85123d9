package sequencer

import "oleandertally/core/specifier"

// attendant is a member with an open stream.
type attendant struct {
	member   specifier.Member
	joined   bool                     // recorded in the replicated membership
	renewals int                      // presences not yet answered with a lease
	needs    []specifier.ServiceShare // of an entry
	load     specifier.Load
	reported bool // load is what the member reported last
	revision specifier.Revision
	version  uint64 // of the membership it has been sent
}
