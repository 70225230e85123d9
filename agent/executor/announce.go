package executor

import "oleandertally/core/specifier"

// Announce sends the load to the controllers and every connected entry when the number of offered slots changes.
type Announce struct {
	Load specifier.Load
}

func (Announce) action() {}
