package loadplayer

import (
	"math"
	"time"

	"oleandertally/dispatch/estimator"
)

// known gives the dispatcher the true speeds of the workers and the mean error of each kind's estimates.
type known struct{ player *Player }

func (k known) Pace(_ time.Time, name string) float64 {
	for _, w := range k.player.workers {
		if w.name != name {
			continue
		}
		if w.fault != nil && w.fault.Kind == Slow {
			return w.fault.Factor / w.speed
		}
		return 1 / w.speed
	}
	return 1
}

func (k known) QueueFactor(kind string) float64 {
	if k.player.KnowsTimes {
		return 1
	}
	factor := estimateBias * math.Exp(estimateSpread*estimateSpread/2)
	if off := k.player.Scenario.Uneven.EstimateFactors[kind]; off > 0 {
		factor *= off
	}
	return factor
}

func (known) ColdPace() float64                                   { return 1 }
func (known) Ended(time.Time, estimator.Sample[string, string])   {}
func (known) Overdue(time.Time, estimator.Sample[string, string]) {}
func (known) Forget(string)                                       {}
