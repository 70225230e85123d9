package executor

import "oleandertally/core/specifier"

// Announce tells the controllers and every linked entry that the slots changed.
type Announce struct {
	Load specifier.Load
}

func (Announce) action() {}
