package loadplayer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// request is one job of a caller, with the true run times of its tasks.
type request struct {
	kind      int
	zone      int // of its caller
	sequence  uint64
	id        string
	sentAt    time.Time
	runTimes  []time.Duration // on a worker of speed 1
	estimate  time.Duration
	resources specifier.Resources
	objective time.Duration // time within which the answer is in time
	weight    float64       // relative to the mean job of its kind
	rack      string        // location of the data; empty for none
	answered  bool
	worked    float64 // core-seconds that workers have spent on it
}

const (
	// lateFactor times the objective is how long a caller waits.
	lateFactor = 3
	// Run times within a kind, and the true run time relative to the estimate, are log-normal with these deviations.
	workSpread     = 0.4
	estimateSpread = 0.43
	estimateBias   = 1.18 // median of the true run time over the estimate
	taskSpread     = 0.15 // between the tasks of a job
	// A share of the jobs takes tailFactor times as long.
	tailShare  = 0.03
	tailFactor = 7
	// baseWeight is the part of a job's weight that does not depend on its work.
	baseWeight = 0.3
	maxWeight  = 4
)

// draw returns a request of a kind.
func draw(random *rand.Rand, number int, kind Kind) *request {
	lognormal := func(deviation float64) float64 {
		return math.Exp(deviation*random.NormFloat64() - deviation*deviation/2)
	}
	tasks := max(1, int(math.Round(kind.Tasks*lognormal(0.35))))
	work := kind.Work.Seconds() * lognormal(workSpread)
	if random.Float64() < tailShare {
		work *= tailFactor
	}
	r := &request{kind: number, resources: specifier.Resources{MilliCores: max(int(float64(kind.MilliCores)*lognormal(0.2)), 100), Memory: 64}}
	longest := 0.0
	for range tasks {
		run := work * lognormal(taskSpread)
		longest = max(longest, run)
		r.runTimes = append(r.runTimes, seconds(run))
	}
	r.estimate = seconds(work / estimateBias * lognormal(estimateSpread)).Round(time.Millisecond)
	r.objective = kind.Target + seconds(kind.Stretch*longest)
	r.weight = min(baseWeight+(1-baseWeight)*r.coreSeconds()/kind.meanCoreSeconds(), maxWeight)
	return r
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// job returns the definition that the caller submits.
func (r *request) job() specifier.QueuedJob {
	return specifier.QueuedJob{Transient: true, Steps: []specifier.Step{{Count: len(r.runTimes), Resources: r.resources, Estimate: max(r.estimate, time.Millisecond),
		DataRack: r.rack}}}
}

// coreSeconds returns the work of a request on workers of speed 1.
func (r *request) coreSeconds() float64 {
	total := 0.0
	for _, each := range r.runTimes {
		total += each.Seconds()
	}
	return total * float64(r.resources.MilliCores) / 1000
}

// longest returns the run time of the longest task on a worker of speed 1.
func (r *request) longest() time.Duration { return slices.Max(r.runTimes) }
