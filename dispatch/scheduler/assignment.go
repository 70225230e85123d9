package scheduler

import "oleandertally/core/specifier"

// Assignment is the decision to send an item to an agent.
type Assignment struct {
	Agent specifier.Identity
	Item  Item
}
