package coordinator

import "oleandertally/core/specifier"

// Decided carries the controllers' decision on a command that this entry proposed.
type Decided struct {
	Command  specifier.Command
	Decision specifier.Decision
}

func (Decided) event() {}
