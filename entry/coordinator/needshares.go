package coordinator

import "oleandertally/core/specifier"

// RequestShares tells what the entry's teams could use; the next renewal of its lease carries it.
type RequestShares struct {
	Needs []specifier.ServiceShare
}

func (RequestShares) action() {}
