package estimator

import "math"

// average is a moving average of logarithms. It starts at value, which counts as prior samples, and follows with a weight of at
// least floor.
type average struct {
	value float64
	count float64 // samples so far, with the prior ones
}

// add moves the average towards a sample. A difference beyond limit counts as limit.
func (a *average) add(sample, prior, floor, limit float64) {
	a.count = max(a.count, prior) + 1
	a.value += max(1/a.count, floor) * max(min(sample-a.value, limit), -limit)
}

// factor returns the average as a factor within a bound.
func (a *average) factor(bound float64) float64 { return max(min(math.Exp(a.value), bound), 1/bound) }
