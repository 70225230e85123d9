package executor

import "time"

// Leased reports that the controllers extended the agent's lease. Until is calculated from the time at which the renewal
// was sent, so that the lease ends for the agent before it ends for the controllers.
type Leased struct {
	Until time.Time
}

func (Leased) event() {}
