package dispatcher

import (
	"time"

	"oleandertally/dispatch/admitter"
	"oleandertally/dispatch/estimator"
	"oleandertally/dispatch/placer"
	"oleandertally/dispatch/sharer"
)

// pool is the workers of one name, the tasks that wait for them, and their load.
type pool struct {
	name       string
	agents     []*agent // by name
	groups     map[string]*group
	estimates  estimator.Policy[string, string] // by names of agents and queues
	workers    placer.Index[*agent]
	waiting    sharer.Queue[readyTask]
	blocked    []*sharer.Kind[readyTask] // kinds without a task that fits, in the placement under way
	changed    bool                      // a task or room was added since the last placement
	aside      []*task                   // tasks that no worker could hold
	placements uint64                    // number of placements so far
	arrivals   admitter.Meter            // core-seconds
	lateWork   float64                   // core-seconds of waiting tasks that can't end within the objective
	pace       admitter.Ratio            // run time over the prediction for the run's worker
	capacity   float64                   // see cores; at measuredAt
	usualPace  float64                   // see Dispatcher.usualPace; at measuredAt
	reviewAt   time.Time                 // when the next placement looks again at tasks that wait for a better worker; zero for none
	measuredAt time.Time
	// shortageLogged is when it was last logged why jobs are refused.
	shortageLogged time.Time
}

const (
	// levelUnit is the milli-cores that the choice of a worker tells apart.
	levelUnit = 500
	// arrivalSpan is the time over which arriving work is averaged. It is shorter than a burst and longer than the gaps between jobs.
	arrivalSpan = time.Second
	// capacityInterval is how often the capacity of a pool is added up.
	capacityInterval = 25 * time.Millisecond
)

// pool returns the pool of a name, and adds it if it is new.
func (d *Dispatcher) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{name: name, groups: make(map[string]*group), estimates: d.newEstimates(), workers: placer.Index[*agent]{Unit: levelUnit}, waiting: sharer.Queue[readyTask]{Less: readyBefore},
			arrivals: admitter.Meter{Span: arrivalSpan}}
		d.pools[name] = p
		d.poolList = append(d.poolList, p)
	}
	return p
}

func (d *Dispatcher) newEstimates() estimator.Policy[string, string] {
	if d.NewEstimates == nil {
		return &estimator.Learned[string, string]{}
	}
	return d.NewEstimates()
}

// members returns the agents of a group, or of the pool for nil.
func (p *pool) members(g *group) []*agent {
	if g == nil {
		return p.agents
	}
	return g.agents
}

// unindex removes an agent from the choices until its next report.
func (p *pool) unindex(a *agent) {
	p.workers.Remove(&a.place)
	for _, each := range a.memberships {
		each.unindex()
	}
	a.indexedFree = 0
}

// cores returns what the workers that may get tasks can do, in cores of the pool's typical worker: a worker that takes twice as long
// counts half. Predicted work is in core-seconds of the same worker: an estimate of a job's steps, which include the factor of its
// queue, times the pool's pace. The pace of single workers is therefore only in cores.
func (d *Dispatcher) cores(p *pool) float64 {
	if d.now.Before(p.measuredAt.Add(capacityInterval)) {
		return p.capacity
	}
	fastest := 0.0
	p.capacity, p.measuredAt = 0, d.now
	for _, a := range p.agents {
		if d.available(a) {
			pace := d.pace(a)
			p.capacity += float64(a.worker.Capacity.MilliCores) / 1000 / pace
			fastest = max(fastest, 1/pace)
		}
	}
	p.usualPace = 1 / max(min(fastest, 1), minSpeed)
	return p.capacity
}

// minSpeed bounds the pace that a pool is expected to have.
const minSpeed = 0.01

// usualPace returns the pace that a task can wait for: that of the typical worker, or of the fastest one if all are slower.
func (d *Dispatcher) usualPace(p *pool) float64 {
	d.cores(p)
	return p.usualPace
}

// waitingWork returns the core-seconds of all waiting tasks by their estimates.
func (p *pool) waitingWork() float64 {
	total := p.lateWork
	for _, kind := range p.waiting.Kinds() {
		total += kind.Waiting
	}
	return total
}
