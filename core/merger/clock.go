package merger

import "time"

// Clock is the estimated skew of one process's clock: how far the clock is ahead of the reference clock.
// The tags keep the names that tally prints as JSON.
type Clock struct {
	Process    string
	Skew       time.Duration // the estimate, between MinSkew and MaxSkew where they are known
	MinSkew    time.Duration `json:"Least"`
	MaxSkew    time.Duration `json:"Most"`
	HasMinSkew bool          `json:"HasLeast"`
	HasMaxSkew bool          `json:"HasMost"`
	Events     int
	Dropped    int
}

// estimate returns the middle of both bounds. With one bound, the estimate is the allowed value nearest to zero,
// because most hosts keep their clocks close together.
func (c Clock) estimate() time.Duration {
	switch {
	case c.HasMinSkew && c.HasMaxSkew:
		return c.MinSkew + (c.MaxSkew-c.MinSkew)/2
	case c.HasMinSkew:
		return max(0, c.MinSkew)
	case c.HasMaxSkew:
		return min(0, c.MaxSkew)
	}
	return 0
}
