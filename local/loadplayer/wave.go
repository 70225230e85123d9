package loadplayer

import (
	"math"
	"time"
)

// Wave is how demand swings around its mean.
type Wave struct {
	Swing  float64 // share of the mean
	Period time.Duration
	Phase  float64 // part of the period by which each zone of callers is ahead of the one before
}

var (
	mildWave  = Wave{Swing: 0.4, Period: 15 * time.Second}
	steepWave = Wave{Swing: 0.55, Period: 13 * time.Second, Phase: 0.1}
)

// factor returns the demand of a zone at a time since the start, relative to its mean.
func (w Wave) factor(zone int, since time.Duration) float64 {
	return 1 + w.Swing*math.Sin(2*math.Pi*(float64(since)/float64(w.Period)+float64(zone)*w.Phase))
}
