package runner

import "time"

// callerRequest is one caller's request that waits for its answer.
type callerRequest struct {
	arrival  time.Time
	deadline time.Time
}
