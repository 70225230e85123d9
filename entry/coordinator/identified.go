package coordinator

import "oleandertally/core/specifier"

// Identified sets the identity under which this entry proposes new jobs. It arrives at the start and with each lease
// renewal; the identity changes after an earlier incarnation was recorded as Down.
type Identified struct {
	Self specifier.Identity
}

func (Identified) event() {}
