package loadplayer

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Scenario is a site with its load and faults.
type Scenario struct {
	Name       string
	Workers    int
	MilliCores int     // of a worker of size 1; a third of the workers is half as large again
	Scale      float64 // factor of all rates
	Span       time.Duration
	Kinds      []Kind
	Bursts     []Burst
	Faults     []Fault
	Wave       Wave
	Zones      int           // number of callers' zones, each with an equal part of the demand and a wave of its own; 0 for one without a name
	Delay      time.Duration // each zone's callers are farther from the controllers than those of the zone before, one way
	ByWork     bool          // a job is worth its core-seconds; otherwise all kinds are worth the same
	Uneven     Uneven
}

// Check returns an error that names the first field that is out of range.
func (s Scenario) Check() error {
	switch {
	case s.Workers < 1:
		return errors.Newf("Workers: got %d, expected at least 1", s.Workers)
	case s.MilliCores < 1:
		return errors.Newf("MilliCores: got %d, expected at least 1", s.MilliCores)
	case s.Scale <= 0:
		return errors.Newf("Scale: got %v, expected more than 0", s.Scale)
	case s.Span <= 0:
		return errors.Newf("Span: got %v, expected more than 0", s.Span)
	case s.Zones < 0:
		return errors.Newf("Zones: got %d, expected at least 0", s.Zones)
	case s.Wave.Period <= 0:
		return errors.Newf("Wave.Period: got %v, expected more than 0", s.Wave.Period)
	case len(s.Kinds) == 0:
		return errors.New("Kinds: is empty")
	}
	return nil
}

// bookings are the three kinds of requests of a booking service, at rates per worker.
func bookings(workers int, milliCores int) []Kind {
	n := float64(workers)
	return []Kind{
		{Name: "hold", Priority: 0, Rate: 2.75 * n, Tasks: 8, Work: 51 * time.Millisecond, MilliCores: milliCores, Stretch: 1.6, Target: 60 * time.Millisecond},
		{Name: "quote", Priority: 2, Rate: 0.5 * n, Tasks: 4, Work: 760 * time.Millisecond, MilliCores: milliCores, Stretch: 1.6, Target: 60 * time.Millisecond},
		{Name: "release", Priority: 1, Rate: 8 * n, Tasks: 2, Work: 170 * time.Millisecond, MilliCores: milliCores, Stretch: 1.6, Target: 60 * time.Millisecond},
	}
}

// withoutTail makes the mean work of a kind, with its tail of long jobs, the one that the kind names.
const withoutTail = 1 / (1 + tailShare*(tailFactor-1))

// mix returns short jobs of many tasks, long jobs, and medium jobs of two tasks, each at a rate and with a run time.
func mix(short float64, shortWork time.Duration, long float64, longWork time.Duration, medium float64, mediumWork time.Duration, milliCores int) []Kind {
	kind := func(name string, priority int, rate, tasks float64, work time.Duration) Kind {
		return Kind{Name: name, Priority: priority, Rate: rate, Tasks: tasks, Work: work, MilliCores: milliCores, Stretch: 1.6, Target: 60 * time.Millisecond}
	}
	return []Kind{kind("hold", 0, short, 8, shortWork), kind("quote", 2, long, 4, longWork), kind("release", 1, medium, 2, mediumWork)}
}

// Scenarios returns the named scenarios.
func Scenarios() []Scenario {
	small := Scenario{Workers: 11, MilliCores: 32000, Scale: 1.1, Span: 20 * time.Second, Kinds: bookings(11, 3100), Wave: mildWave}
	large := Scenario{Workers: 240, MilliCores: 16000, Scale: 1.1, Span: 20 * time.Second, Kinds: bookings(240, 1550), Wave: mildWave}
	crest := []Burst{{At: time.Second, For: 4 * time.Second, Factor: 1.3}, {Kind: "release", At: 4 * time.Second, For: 4 * time.Second, Factor: 1.7}}
	with := func(s Scenario, name string, bursts []Burst, faults ...Fault) Scenario {
		s.Name, s.Bursts, s.Faults = name, bursts, faults
		return s
	}
	cut := Fault{Kind: Unreachable, At: 3 * time.Second, For: 6 * time.Second, Share: 0.25}
	slow := Fault{Kind: Slow, At: 10 * time.Second, For: 6 * time.Second, Share: 0.16, Factor: 6}
	failing := Fault{Kind: Failing, At: 10 * time.Second, For: 6 * time.Second, Share: 0.1}
	hanging := Fault{Kind: Hanging, At: 10 * time.Second, For: 6 * time.Second, Share: 0.1}
	// A quarter of the workers and of the demand of a site of wide tasks and of one of narrow tasks.
	wide := Scenario{Workers: 17, MilliCores: 55000, Scale: withoutTail, Span: 16 * time.Second, Wave: steepWave, ByWork: true, Zones: 4,
		Kinds: mix(51.5, 60*time.Millisecond, 9.4, 900*time.Millisecond, 150, 200*time.Millisecond, 6500)}
	narrow := Scenario{Workers: 15, MilliCores: 14000, Scale: withoutTail, Span: 16 * time.Second, Wave: steepWave, ByWork: true, Zones: 3,
		Kinds: mix(45, 51*time.Millisecond, 8.25, 760*time.Millisecond, 132, 170*time.Millisecond, 1400)}
	lost := Fault{Kind: Unreachable, At: 2 * time.Second, For: 8 * time.Second, Share: 0.2}
	far := wide
	far.Delay = 16 * time.Millisecond
	// One zone, so that the demand falls to a third of its peak, at second 10.
	falling := narrow
	falling.Zones, falling.Wave.Phase = 1, 0
	return append([]Scenario{
		with(wide, "wide-lost", []Burst{{Kind: "quote", At: time.Second, For: 5 * time.Second, Factor: 1.6}}, lost),
		with(wide, "wide-zones", []Burst{{At: time.Second, For: 4 * time.Second, Factor: 1.5}}),
		with(wide, "wide-zone-burst", []Burst{{Zone: "zone 1", At: time.Second, For: 5 * time.Second, Factor: 3}}),
		with(far, "wide-far-zones", []Burst{{At: time.Second, For: 4 * time.Second, Factor: 1.5}}),
		with(narrow, "narrow-lost", []Burst{{Kind: "quote", At: time.Second, For: 5 * time.Second, Factor: 1.6}}, lost),
		with(narrow, "narrow-zones", []Burst{{At: time.Second, For: 4 * time.Second, Factor: 1.6}}),
		with(falling, "narrow-falling", []Burst{{At: 2 * time.Second, For: 3 * time.Second, Factor: 1.6}}),
		with(falling, "narrow-falling-lost", []Burst{{At: 2 * time.Second, For: 3 * time.Second, Factor: 1.6}}, Fault{Kind: Unreachable, At: 4 * time.Second, For: 6 * time.Second, Share: 0.4}),
		with(small, "small-quiet", nil),
		with(small, "small-crest", crest),
		with(small, "small-cut", crest, cut),
		with(small, "small-slow", crest, slow),
		with(small, "small-failing", crest, failing),
		with(small, "small-hanging", crest, hanging),
		with(large, "large-crest", crest),
		with(large, "large-cut", crest, cut),
		with(large, "large-slow", crest, slow, hanging),
	}, unevenScenarios()...)
}

// Named returns the scenario of that name.
func Named(name string) (Scenario, error) {
	for _, each := range Scenarios() {
		if each.Name == name {
			return each, nil
		}
	}
	var names []string
	for _, each := range Scenarios() {
		names = append(names, each.Name)
	}
	return Scenario{}, errors.Newf("there is no scenario %q, expected one of %s", name, strings.Join(names, ", "))
}
