package dispatcher

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/admitter"
	"oleandertally/dispatch/placer"
)

// group is the workers of a pool that have a label, such as that of their rack. A choice among many uses an index, which is built
// when a task first asks for the label.
type group struct {
	label    string
	agents   []*agent // by name
	index    *placer.Index[*agent]
	waiting  int            // milli-cores of the waiting tasks whose data is there
	demand   admitter.Meter // core-seconds of tasks whose data is there
	loaded   float64        // see load; at loadedAt
	loadedAt time.Time
	passedAt uint64 // placement of the pool in which a task decided to wait for room there
}

const (
	// maxScanned is the number of workers up to which a choice looks at each.
	maxScanned = 16
	// remainingFactor is the run time in relation to the mean time that is left to the runs in progress: between 1, for run times that
	// differ much, and 2, for equal ones.
	remainingFactor = 1.5
)

// group returns the workers of a label, and adds an empty group if there is none.
func (p *pool) group(label string) *group {
	g := p.groups[label]
	if g == nil {
		g = &group{label: label, demand: admitter.Meter{Span: arrivalSpan}}
		p.groups[label] = g
	}
	return g
}

// rackOf returns the workers near the data of a step, or nil if there is no data or no such worker.
func (p *pool) rackOf(step *specifier.Step) *group {
	if step.DataRack == "" {
		return nil
	}
	return p.groups[step.DataRack]
}

// joinGroups makes an agent a member of the groups of its worker's labels, and of no others.
func (d *Dispatcher) joinGroups(a *agent) {
	d.leaveGroups(a)
	for _, label := range a.worker.Labels {
		if a.memberOf(a.pool.groups[label]) {
			continue // the label is listed twice
		}
		g := a.pool.group(label)
		at, _ := slices.BinarySearchFunc(g.agents, a, compareAgents)
		g.agents = slices.Insert(g.agents, at, a)
		a.memberships = append(a.memberships, &membership{group: g, place: placer.Place[*agent]{Worker: a}})
	}
}

func (d *Dispatcher) leaveGroups(a *agent) {
	for _, each := range a.memberships {
		each.unindex()
		each.group.agents = slices.DeleteFunc(each.group.agents, func(other *agent) bool { return other == a })
		if len(each.group.agents) == 0 && each.group.waiting == 0 {
			delete(a.pool.groups, each.group.label)
		}
	}
	a.memberships = nil
}

// load returns the work that arrives for the data near the members in relation to what they can do, at most 1.
func (g *group) load(now time.Time) float64 {
	if now.Before(g.loadedAt.Add(capacityInterval)) {
		return g.loaded
	}
	g.loaded, g.loadedAt = 0, now
	if rate := g.demand.Rate(now); rate > 0 {
		capacity := 0.0
		for _, a := range g.agents {
			capacity += float64(a.worker.Capacity.MilliCores) / 1000 / a.pace
		}
		g.loaded = min(rate/max(capacity, 1), 1)
	}
	return g.loaded
}

// memberOf reports whether the agent is a member of a group, which may be nil.
func (a *agent) memberOf(g *group) bool {
	return g != nil && slices.ContainsFunc(a.memberships, func(each *membership) bool { return each.group == g })
}

// workers returns the index of a group, which holds the agents that have a place in the index of the pool.
func (d *Dispatcher) workers(g *group) *placer.Index[*agent] {
	if g.index != nil {
		return g.index
	}
	g.index = &placer.Index[*agent]{Unit: levelUnit}
	for _, a := range g.agents {
		at := slices.IndexFunc(a.memberships, func(each *membership) bool { return each.group == g })
		if d.available(a) {
			a.memberships[at].reindex(a)
		}
	}
	return g.index
}

// backlog estimates the time until the group has room for what waits for it and another need, and the pace of its workers. It reports
// with false that there is no worker that may get tasks.
func (d *Dispatcher) backlog(g *group, need int) (wait time.Duration, pace float64, ok bool) {
	used, left, capacity, cores := 0.0, 0.0, 0.0, 0.0
	for at, a := range g.agents {
		if at == 2*maxScanned {
			break
		}
		if !d.available(a) {
			continue
		}
		used += float64(a.used.MilliCores)
		left += a.coreTimeLeft(d.now)
		capacity += float64(a.worker.Capacity.MilliCores)
		cores += float64(a.worker.Capacity.MilliCores) / a.pace
	}
	if capacity == 0 {
		return 0, 1, false
	}
	pace = capacity / cores
	if used == 0 {
		return 0, pace, true
	}
	rate := used * used / (remainingFactor * left) // milli-cores that become free in a second
	return time.Duration(float64(g.waiting+need) / rate * float64(time.Second)), pace, true
}

// minTimeLeft is the time that a run is expected to take when it has taken longer than expected.
const minTimeLeft = 0.02 // seconds

// coreTimeLeft returns the expected time until the ends of the runs, times their milli-cores, in seconds.
func (a *agent) coreTimeLeft(now time.Time) float64 {
	used := float64(a.used.MilliCores)
	return max(a.endSum-used*float64(now.UnixNano()-a.endBase)/1e9, used*minTimeLeft)
}

// expectEnd adds the expected end of a run, or removes it.
func (a *agent) expectEnd(r *run, sign float64) {
	if r.expectedEnd.IsZero() {
		return
	}
	if a.endBase == 0 {
		a.endBase = r.startedAt.UnixNano()
	}
	a.endSum += sign * float64(r.resources.MilliCores) * float64(r.expectedEnd.UnixNano()-a.endBase) / 1e9
}

// wait changes the need of the tasks that wait for the group, which may be nil.
func (g *group) wait(milliCores int) {
	if g != nil {
		g.waiting += milliCores
	}
}

// passed reports whether a task decided in the placement under way to wait for room in the group, which may be nil.
func (g *group) passed(p *pool) bool { return g != nil && g.passedAt == p.placements }
