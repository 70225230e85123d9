package dispatcher

import "oleandertally/core/specifier"

// Order sends an order to an agent.
type Order struct {
	Stream Stream
	Order  specifier.LeaseOrder
}
