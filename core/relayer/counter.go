package relayer

import "sync/atomic"

// counter counts the bytes of one tunnel, and reports them to the relay's meter.
type counter struct {
	meter Meter
	total atomic.Int64
}

func (c *counter) add(bytes int) {
	c.total.Add(int64(bytes))
	c.meter.Copied(bytes)
}
