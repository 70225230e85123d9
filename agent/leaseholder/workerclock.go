package leaseholder

import "time"

// workerClock estimates the clock of a worker, which may run slower than the agent's.
type workerClock struct {
	reading time.Duration
	readAt  time.Time // when the reading arrived; zero before the first
}

const (
	// minClockRate is the rate of the slowest worker clock, relative to the agent's clock.
	minClockRate = 0.98
)

func (c *workerClock) known() bool { return !c.readAt.IsZero() }

func (c *workerClock) read(reading time.Duration, now time.Time) {
	if reading > 0 {
		c.reading, c.readAt = reading, now
	}
}

// minReading returns a reading that the worker's clock has certainly reached at now.
func (c *workerClock) minReading(now time.Time) time.Duration {
	return c.reading + time.Duration(minClockRate*float64(max(now.Sub(c.readAt), 0)))
}

// reachedBy returns the latest time at which the worker's clock reaches the reading.
func (c *workerClock) reachedBy(reading time.Duration) time.Time {
	return c.readAt.Add(time.Duration(float64(max(reading-c.reading, 0)) / minClockRate))
}
