package dispatcher

import "oleandertally/core/specifier"

// ReportReceived is a report of an agent.
type ReportReceived struct {
	Stream Stream
	Report specifier.LeaseReport
}
