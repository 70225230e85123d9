package leaseholder

import "oleandertally/core/specifier"

// Report sends a report to the leading controller.
type Report struct{ Report specifier.LeaseReport }
