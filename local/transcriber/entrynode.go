package transcriber

import (
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

// entryNode is one entry process.
type entryNode struct {
	id      specifier.Identity
	zone    string
	machine *coordinator.Coordinator
	alive   bool
	callers map[coordinator.Waiter]string // what each waiting caller is called
	asks    map[coordinator.Waiter]func(coordinator.Reply)
}
