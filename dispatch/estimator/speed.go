package estimator

import (
	"math"
	"time"
)

// speed is the pace of a worker, as a logarithm.
type speed struct {
	average
	lasting    average // pace over a longer time
	measuredAt time.Time
}

// at returns the logarithms of the pace and of the lasting pace at a time.
func (s *speed) at(now time.Time, typical float64) (pace, lasting float64) {
	age := (now.Sub(s.measuredAt) - keepPace).Seconds()
	if age <= 0 {
		return s.value, s.lasting.value
	}
	lasting = typical + (s.lasting.value-typical)*math.Exp2(-age/lastingHalfLife.Seconds())
	return lasting + (s.value-s.lasting.value)*math.Exp2(-age/paceHalfLife.Seconds()), lasting
}
