package leaseholder

import "oleandertally/core/specifier"

// OrderReceived carries an order of the leading controller.
type OrderReceived struct{ Order specifier.LeaseOrder }
