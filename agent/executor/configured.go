package executor

import "oleandertally/core/specifier"

// Configured carries the profiles of a newer configuration, by name.
type Configured struct {
	Profiles map[string]specifier.Profile
}

func (Configured) event() {}
