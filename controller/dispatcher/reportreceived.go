package dispatcher

import "oleandertally/core/specifier"

// ReportReceived carries a report of an agent.
type ReportReceived struct {
	Stream Stream
	Report specifier.LeaseReport
}
