package leaseholder

import "oleandertally/core/specifier"

// OrderReceived is an order of the leading controller.
type OrderReceived struct{ Order specifier.LeaseOrder }
