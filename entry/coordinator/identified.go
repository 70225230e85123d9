package coordinator

import "oleandertally/core/specifier"

// Identified sets the identity under which this entry proposes new jobs: at the start, and when
// an earlier incarnation was recorded as Down. It comes with each renewal of the lease.
type Identified struct {
	Self specifier.Identity
}

func (Identified) event() {}
