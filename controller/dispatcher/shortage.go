package dispatcher

import "oleandertally/core/specifier"

// shortage is the resources of a task that fitted at no worker of its pool.
type shortage struct {
	pool      string
	resources specifier.Resources
}
