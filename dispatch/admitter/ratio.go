package admitter

// Ratio is how much work takes in relation to its estimate, as a moving average of sums. A mean of the ratios of single tasks would be
// too high: of the tasks with a ratio far from 1, those that were estimated too short have the larger ratios. The zero value is 1.
type Ratio struct {
	estimated, taken float64 // smoothed
}

const (
	// ratioWeight is the weight of a new sample.
	ratioWeight = 0.01
	// ratioPrior is the smoothed work, in the unit of a sample, that a ratio of 1 counts for before the first samples.
	ratioPrior = 0.1
	// maxRatio bounds a sample, so that a few runs on slow workers do not change the ratio for all.
	maxRatio = 3
)

// Add adds work of the given estimate that took ratio times as much.
func (r *Ratio) Add(estimate, ratio float64) {
	r.estimated += ratioWeight * (estimate - r.estimated)
	r.taken += ratioWeight * (estimate*min(ratio, maxRatio) - r.taken)
}

// Value returns the ratio.
func (r *Ratio) Value() float64 { return (r.taken + ratioPrior) / (r.estimated + ratioPrior) }
