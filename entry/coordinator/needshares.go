package coordinator

import "oleandertally/core/specifier"

// NeedShares tells what the entry's teams could use; the next renewal of its lease carries it.
type NeedShares struct {
	Needs []specifier.ServiceShare
}

func (NeedShares) action() {}
