package ejector

// Consecutive trips when the total weight of consecutive failures reaches the threshold.
type Consecutive struct {
	weight int
}

// Record implements Breaker.
func (c *Consecutive) Record(weight, threshold int) bool {
	if weight == 0 {
		c.weight = 0
		return false
	}
	c.weight += weight
	return c.weight >= threshold
}

// LastFailed implements Breaker.
func (c *Consecutive) LastFailed() bool { return c.weight > 0 }

// Reset implements Breaker.
func (c *Consecutive) Reset() { c.weight = 0 }
