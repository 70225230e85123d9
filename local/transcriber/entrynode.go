package transcriber

import (
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

// entryNode is one entry process.
type entryNode struct {
	id            specifier.Identity
	zone          string
	machine       *coordinator.Coordinator
	alive         bool
	callers       map[coordinator.Waiter]string                  // names of the waiting callers
	ownerRequests map[coordinator.Waiter]func(coordinator.Reply) // requests of other entries for jobs that this one owns
}
