package executor

import "time"

// Leased reports that the controllers extended the agent's lease. Until counts from when the
// renewal was sent, so that the agent's view ends before the controllers' view does.
type Leased struct {
	Until time.Time
}

func (Leased) event() {}
