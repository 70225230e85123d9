package coordinator

import "oleandertally/core/specifier"

// LoadReceived carries an agent's own count of its work.
type LoadReceived struct {
	Agent specifier.Identity
	Load  specifier.Load
}

func (LoadReceived) event() {}
