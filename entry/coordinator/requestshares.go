package coordinator

import "oleandertally/core/specifier"

// RequestShares reports how many slots the entry's teams could use. The next lease renewal sends the needs to the controllers.
type RequestShares struct {
	Needs []specifier.ServiceShare
}

func (RequestShares) action() {}
