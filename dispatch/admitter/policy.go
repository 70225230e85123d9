package admitter

import "time"

// Policy decides on one job. When it refuses, retryAfter is when another attempt may succeed, or zero when
// none can.
type Policy interface {
	Admit(demand Demand) (ok bool, retryAfter time.Duration)
}
