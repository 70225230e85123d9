package coordinator

import "oleandertally/core/specifier"

// Loaded carries an agent's own count of its work.
type Loaded struct {
	Agent specifier.Identity
	Load  specifier.Load
}

func (Loaded) event() {}
