package admitter

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a prediction that is too pessimistic where estimates are imprecise: tasks that take 1 s on average and whose
// estimates are right on average, but off by 43% each, have a mean ratio of 1.2.
func TestRatioOfImpreciseEstimates(t *testing.T) {
	random, r := rand.New(rand.NewPCG(1, 1)), Ratio{}
	must.Eq(t, 1, r.Value())
	total, samples := 0.0, 0
	for range 20_000 {
		estimate := math.Exp(0.43*random.NormFloat64() - 0.43*0.43/2)
		r.Add(estimate, 1/estimate)
		if samples++; samples > 1000 {
			total += r.Value()
		}
	}
	must.InDelta(t, 1, total/float64(samples-1000), 0.04)
}

// Guards against a few runs on slow workers that make all jobs seem too long.
func TestRatioOfOneSlowRun(t *testing.T) {
	r := Ratio{}
	r.Add(1, 100)
	must.Less(t, 1.3, r.Value())
}
