package loadplayer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Uneven is what differs between the workers and between the kinds of a site. The zero value is a site without racks whose estimates
// are off by the same factor for every kind.
type Uneven struct {
	Speeds          []float64          // of the workers, by chance; nearly even ones if empty
	EstimateFactors map[string]float64 // by which the run time exceeds the estimate, by kind, beside the usual bias
	RackSize        int                // workers of a rack; 0 for no racks
	RemoteFactor    float64            // of the run time of a task away from its data
	HotKind         string             // kind whose jobs have data in a rack
	HotShare        float64            // share of its jobs with data in the first rack; the others are spread over all racks
}

func (u Uneven) speeds() []float64 {
	if len(u.Speeds) == 0 {
		return []float64{0.8, 1, 1.25}
	}
	return u.Speeds
}

// rack returns the rack of a worker.
func (u Uneven) rack(worker int) string {
	if u.RackSize == 0 {
		return ""
	}
	return fmt.Sprintf("rack-%d", worker/u.RackSize)
}

// change applies the estimate's error and the location of the data to a request.
func (u Uneven) change(random *rand.Rand, q *request, kind Kind, workers int) {
	if factor := u.EstimateFactors[kind.Name]; factor > 0 {
		q.estimate = time.Duration(float64(q.estimate) / factor)
	}
	if u.RackSize == 0 || u.HotKind != kind.Name {
		return
	}
	q.rack = u.rack(0)
	if random.Float64() >= u.HotShare {
		q.rack = u.rack(random.IntN(workers))
	}
}

// unevenWave takes demand from half to one and a half times its mean.
var unevenWave = Wave{Swing: 0.5, Period: 15 * time.Second}

// unevenScenarios returns sites at a quarter of the size of the ones on the page of hard loads, with racks of the same share of the
// workers, and demand from half to one and a half times its mean.
func unevenScenarios() []Scenario {
	kinds := func(short, long, medium float64, milliCores int, work float64) []Kind {
		span := func(milliseconds float64) time.Duration { return seconds(work * milliseconds / 1000) }
		const target = 60 * time.Millisecond
		return []Kind{
			{Name: "short", Rate: short, Tasks: 8, Work: span(60), MilliCores: milliCores, Stretch: 1.6, Target: target},
			{Name: "long", Priority: 2, Rate: long, Tasks: 4, Work: span(900), MilliCores: milliCores, Stretch: 1.6, Target: target},
			{Name: "medium", Priority: 1, Rate: medium, Tasks: 2, Work: span(200), MilliCores: milliCores, Stretch: 1.6, Target: target},
		}
	}
	// A third of the workers is half as large again, so that the mean is 64 and 16 cores.
	meters := Scenario{Workers: 17, MilliCores: 55000, Scale: 1, Span: 15 * time.Second, Kinds: kinds(51, 9.3, 149, 6500, 1)}
	admissions := Scenario{Workers: 15, MilliCores: 13700, Scale: 1, Span: 15 * time.Second, Kinds: kinds(45, 8.2, 131, 1400, 0.85)}
	var list []Scenario
	for _, site := range []struct {
		name         string
		scenario     Scenario
		remoteFactor float64
	}{{"meters", meters, 2}, {"admissions", admissions, 1.5}} {
		add := func(name string, uneven Uneven, faults ...Fault) {
			s := site.scenario
			s.Name, s.Uneven, s.Faults = site.name+"-"+name, uneven, faults
			s.Wave = unevenWave
			list = append(list, s)
		}
		add("uneven", Uneven{Speeds: []float64{0.6, 1, 1.6}, EstimateFactors: map[string]float64{"short": 1.4, "long": 0.6, "medium": 1}})
		add("rack", Uneven{RackSize: 2, RemoteFactor: site.remoteFactor, HotKind: "short", HotShare: 0.8})
		add("slow", Uneven{}, Fault{Kind: Slow, At: 4 * time.Second, For: 6 * time.Second, Share: 0.2, Factor: 6})
	}
	return list
}
