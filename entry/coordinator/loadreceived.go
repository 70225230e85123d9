package coordinator

import "oleandertally/core/specifier"

// LoadReceived carries the load that an agent reports for itself.
type LoadReceived struct {
	Agent specifier.Identity
	Load  specifier.Load
}

func (LoadReceived) event() {}
