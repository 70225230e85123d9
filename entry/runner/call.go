package runner

import "time"

// call is one caller's request that waits for its answer.
type call struct {
	arrival  time.Time
	deadline time.Time
}
