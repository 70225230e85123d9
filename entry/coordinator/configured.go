package coordinator

import "oleandertally/core/specifier"

// Configured carries a newer configuration.
type Configured struct {
	Configuration specifier.Configuration
}

func (Configured) event() {}
