package dispatcher

import (
	"time"

	"oleandertally/dispatch/admitter"
	"oleandertally/dispatch/placer"
	"oleandertally/dispatch/sharer"
)

// pool is the workers of one name, the tasks that wait for them, and their load.
type pool struct {
	name       string
	agents     []*agent // by name
	workers    placer.Index[*agent]
	waiting    sharer.Queue[readyTask]
	blocked    []*sharer.Kind[readyTask] // kinds without a task that fits, in the placement under way
	changed    bool                      // a task or room was added since the last placement
	aside      []*task                   // tasks that no worker could hold
	placements uint64                    // number of placements so far
	arrivals   admitter.Meter            // core-seconds
	lateWork   float64                   // core-seconds of waiting tasks that can't end within the objective
	pace       admitter.Ratio            // run time over the estimate
	capacity   float64                   // cores of the workers that may get tasks, at measuredAt
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
		p = &pool{name: name, workers: placer.Index[*agent]{Unit: levelUnit}, waiting: sharer.Queue[readyTask]{Less: readyBefore},
			arrivals: admitter.Meter{Span: arrivalSpan}}
		d.pools[name] = p
		d.poolList = append(d.poolList, p)
	}
	return p
}

// cores returns the capacity of the workers that may get tasks, in cores.
func (d *Dispatcher) cores(p *pool) float64 {
	if d.now.Before(p.measuredAt.Add(capacityInterval)) {
		return p.capacity
	}
	p.capacity, p.measuredAt = 0, d.now
	for _, a := range p.agents {
		if d.available(a) {
			p.capacity += float64(a.worker.Capacity.MilliCores) / 1000
		}
	}
	return p.capacity
}

// waitingWork returns the core-seconds of all waiting tasks by their estimates.
func (p *pool) waitingWork() float64 {
	total := p.lateWork
	for _, kind := range p.waiting.Kinds() {
		total += kind.Waiting
	}
	return total
}
