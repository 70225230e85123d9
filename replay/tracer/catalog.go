package tracer

import (
	"fmt"
	"time"
)

// Catalog returns the traces of the comparison, generated from seed, each of the given length.
func Catalog(seed uint64, length time.Duration) []Trace {
	c := catalog{seed: seed, length: length}
	var traces []Trace
	for _, percent := range []int{30, 60, 80, 95} {
		traces = append(traces, c.steady(fmt.Sprintf("steady-%d", percent), float64(percent)/100))
	}
	for _, percent := range []int{80, 100, 150, 200, 400} {
		traces = append(traces, c.steady(fmt.Sprintf("demand-%d", percent), float64(percent)/100))
	}
	traces = append(traces, c.entries(2), c.entries(4))
	return append(traces, c.burst(), c.shortBehindLong(), c.declared("declared-short", 60), c.declared("declared-long", 6000),
		c.faulty("black-hole", Fault{Kind: BlackHole, Worker: 4}),
		c.faulty("straggler", Fault{Kind: Straggler, Worker: 4, Factor: 5}),
		c.faulty("zone-lost", Fault{Kind: ZoneLost, Zone: 1}),
		c.cancelWave(), c.resubmit(), c.drainDuringBurst(),
		c.faulty("two-faults", Fault{Kind: BlackHole, Worker: 4}, Fault{Kind: ZoneLost, Zone: 2}),
		c.poison(), c.teams(), c.teamsSkewed())
}

// catalog holds the parameters that are common to all traces of a catalog.
type catalog struct {
	seed   uint64
	length time.Duration
}

func (c catalog) trace(name string, demand float64, jobs []Job) Trace {
	return Trace{Name: name, Seed: c.seed, Entries: 3, Demand: demand, LengthMillis: int(c.length.Milliseconds()),
		Typical: map[string]int{"mix": 600, "batch": 15000}, Jobs: jobs}
}

func (c catalog) steady(name string, demand float64) Trace {
	return c.trace(name, demand, NewGenerator(c.seed, 3).Arrivals(0, c.length, demand))
}

// entries returns a trace at 80% demand with another number of entries.
func (c catalog) entries(count int) Trace {
	trace := c.trace(fmt.Sprintf("entries-%d", count), 0.8, NewGenerator(c.seed, count).Arrivals(0, c.length, 0.8))
	trace.Entries = count
	return trace
}

// burst returns a trace with ten times its base demand during one second.
func (c catalog) burst() Trace {
	g := NewGenerator(c.seed, 3)
	base := g.Arrivals(0, c.length, 0.4)
	start := c.length / 3
	return c.trace("burst", 0.4, merge(base, g.Arrivals(start, start+time.Second, 4)))
}

// shortBehindLong returns short work at 50% demand, with jobs of 8 tasks of 10 to 20 s at 30% added.
func (c catalog) shortBehindLong() Trace {
	g := NewGenerator(c.seed, 3)
	short := g.Arrivals(0, c.length, 0.5)
	long := g.Arrivals(0, c.length, 0.3*meanWork/(8*15000))
	for i := range long {
		runs := make([]int, 8)
		for k := range runs {
			runs[k] = 10000 + g.random.IntN(10001)
		}
		long[i].Profile, long[i].Team, long[i].RunMillis = "batch", "planning", runs
		long[i] = withDeadline(long[i])
	}
	return c.trace("short-behind-long", 0.8, merge(short, long))
}

// declared returns a trace at 80% demand with a declared typical run time that is wrong by a factor of ten.
func (c catalog) declared(name string, typical int) Trace {
	trace := c.steady(name, 0.8)
	trace.Typical = map[string]int{"mix": typical}
	return trace
}

func (c catalog) faulty(name string, faults ...Fault) Trace {
	trace := c.steady(name, 0.6)
	for i := range faults {
		faults[i].AtMillis = trace.LengthMillis/3 + 500*i
	}
	trace.Faults = faults
	return trace
}

// cancelWave cancels half of the jobs that arrived within two seconds, all at the same time, under high load.
func (c catalog) cancelWave() Trace {
	trace := c.steady("cancel-wave", 0.95)
	wave := trace.LengthMillis / 2
	for i := range trace.Jobs {
		if at := trace.Jobs[i].AtMillis; i%2 == 0 && at > wave-2000 && at < wave {
			trace.Jobs[i].CancelMillis = wave
		}
	}
	return trace
}

// resubmit returns a trace at twice the capacity whose callers submit refused jobs again.
func (c catalog) resubmit() Trace {
	trace := c.steady("resubmit", 2)
	trace.Resubmit = true
	return trace
}

func (c catalog) drainDuringBurst() Trace {
	trace := c.burst()
	trace.Name = "drain-in-burst"
	trace.Faults = []Fault{{Kind: Drain, Zone: 1, AtMillis: trace.LengthMillis/3 + 500}}
	return trace
}

// poison returns a trace in which every task of one job in 50 fails on any worker.
func (c catalog) poison() Trace {
	trace := c.steady("poison", 0.6)
	for i := range trace.Jobs {
		trace.Jobs[i].Poison = i%50 == 0
	}
	return trace
}

// teams returns a trace at 1.6 times the capacity from two teams with shares 1 and 3, of which the first demands 1.2.
func (c catalog) teams() Trace {
	g := NewGenerator(c.seed, 3)
	small := g.Arrivals(0, c.length, 1.2)
	for i := range small {
		small[i].Team = "agents"
	}
	trace := c.trace("teams", 1.6, merge(small, g.Arrivals(0, c.length, 0.4)))
	trace.Teams = map[string]float64{"agents": 1, "sales": 3}
	return trace
}

// teamsSkewed returns a trace in which all work of the team with share 3 arrives at one entry, while the team with share 1
// demands 1.2 times the capacity over all entries.
func (c catalog) teamsSkewed() Trace {
	trace := c.teams()
	trace.Name = "teams-skewed"
	for i := range trace.Jobs {
		if trace.Jobs[i].Team == "sales" {
			trace.Jobs[i].Entry = 0
		}
	}
	return trace
}
