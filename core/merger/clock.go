package merger

import "time"

// Clock is the estimate of how far one process's clock is ahead of the reference.
type Clock struct {
	Process  string
	Skew     time.Duration // the estimate, between Least and Most where they are known
	Least    time.Duration
	Most     time.Duration
	HasLeast bool
	HasMost  bool
	Events   int
	Dropped  int
}

// estimate returns the middle of both bounds, or else the value nearest to zero that the one
// bound allows, because most hosts keep their clocks close together.
func (c Clock) estimate() time.Duration {
	switch {
	case c.HasLeast && c.HasMost:
		return c.Least + (c.Most-c.Least)/2
	case c.HasLeast:
		return max(0, c.Least)
	case c.HasMost:
		return min(0, c.Most)
	}
	return 0
}
