package tracer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Slots is the number of slots of the modelled service: 11 workers with 8 each.
const Slots = 88

// meanWork is the mean work of a job of the mix, in ms: 8.2 tasks of 0.6 s. It is only used to convert a demand to an
// arrival rate; the demand that a trace really offers is computed from its jobs.
const meanWork = 8.18 * 605

// Generator generates jobs of the design page's mix from a seed.
type Generator struct {
	random  *rand.Rand
	entries int
}

// NewGenerator returns a generator for a number of entries.
func NewGenerator(seed uint64, entries int) *Generator {
	return &Generator{random: rand.New(rand.NewPCG(seed, 11)), entries: entries}
}

// Arrivals returns the jobs that arrive between from and until, as a Poisson process of the given demand.
func (g *Generator) Arrivals(from, until time.Duration, demand float64) []Job {
	var jobs []Job
	gap := meanWork / (Slots * demand)
	for at := float64(from.Milliseconds()); ; {
		at += g.random.ExpFloat64() * gap
		if at >= float64(until.Milliseconds()) {
			return jobs
		}
		jobs = append(jobs, g.job(int(at)))
	}
}

func (g *Generator) job(at int) Job {
	runs := make([]int, g.width())
	for i := range runs {
		runs[i] = g.runTime()
	}
	job := Job{AtMillis: at, Entry: g.random.IntN(g.entries), Team: "sales", Profile: "mix", RunMillis: runs}
	return withDeadline(job)
}

// withDeadline sets the deadline that a patient caller would choose: 10 s, or 4 times the ideal of a job if that is more.
func withDeadline(job Job) Job {
	job.TimeLeftMillis = int(max(10*time.Second, 4*job.Ideal(Slots, 0)).Milliseconds())
	return job
}

func (g *Generator) width() int {
	switch p := g.random.Float64(); {
	case p < 0.92:
		return 1 + g.random.IntN(8)
	case p < 0.99:
		return 9 + g.random.IntN(52)
	}
	return 61 + g.random.IntN(210)
}

func (g *Generator) runTime() int {
	switch p := g.random.Float64(); {
	case p < 0.989:
		return 50 + g.random.IntN(951)
	case p < 0.999:
		return 2000 + g.random.IntN(4001)
	}
	return 20000 + g.random.IntN(40001)
}

// merge merges lists of jobs in order of arrival.
func merge(lists ...[]Job) []Job {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Job) int { return a.AtMillis - b.AtMillis })
	return all
}
