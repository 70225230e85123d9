package admitter

import (
	"math"
	"time"
)

// Meter measures how many slots are needed for the work as it arrives, as a moving average over about Span. Span is set before use.
type Meter struct {
	Span time.Duration
	rate float64
	at   time.Time
}

// Add adds work that arrived at now, in slots times seconds.
func (m *Meter) Add(now time.Time, work float64) {
	m.rate = m.Rate(now) + work/m.Span.Seconds()
	m.at = now
}

// Rate returns the average at now.
func (m *Meter) Rate(now time.Time) float64 {
	if m.rate == 0 {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/m.Span.Seconds())
}
