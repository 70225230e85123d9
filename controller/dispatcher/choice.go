package dispatcher

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/placer"
)

const (
	// defaultRemoteFactor is the factor of a run away from its data where the site does not say it.
	defaultRemoteFactor = 1.5
	// splitPenalty is the pace that a worker without room for the rest of a job's tasks loses, by the share that does not fit. A job
	// needs all its tasks, so each further worker is one more that may fail or be slow.
	splitPenalty = 0.3
	// hotPenalty is the pace that a worker loses for tasks that could as well run elsewhere, when as much work arrives for the data near
	// it as its rack can do.
	hotPenalty = 1.0
	// lateReview is how long a late task waits for the rack of its data until it is looked at again.
	lateReview = 20 * time.Millisecond
	// maxPaceLimit excludes no worker.
	maxPaceLimit = 1e9
	// avoidPenalty ranks the worker where a task last failed behind all others.
	avoidPenalty = 100
	// spareShare is the share of a pool's cores below which arriving work leaves room for runs away from their data, which cost more.
	spareShare = 0.7
	// slowPace is the pace, relative to the usual one, from which on a worker is left out when its run would make a job late that
	// another worker can end in time.
	slowPace = 1.3
	// paceMargin divides the pace at which a run would end just at the objective, because a run that takes longer than predicted would be
	// late. A larger one leaves workers out that could still serve.
	paceMargin = 1.1
)

// choice is a worker for a task, or the time at which a task that waits for a better one should be looked at again. It is empty if
// there is no room.
type choice struct {
	agent    *agent
	reviewAt time.Time
	queued   bool // the task waits for the rack of its data, in turn
	away     bool // a worker away from its data has room, and the task would end in time there
	faster   bool // the task waits for a faster worker
}

// choose returns the worker on which the task should start now, or nil.
func (d *Dispatcher) choose(p *pool, t *task) *agent { return d.decide(p, t).agent }

// decide chooses the worker on which the task should end first.
func (d *Dispatcher) decide(p *pool, t *task) choice {
	step := t.step()
	switch {
	case step.PerWorker > 0:
		return d.chooseConstrained(p, t, step, func(g *group) *agent { return d.scan(p.members(g), t, step) })
	case step.Constrained():
		return d.chooseConstrained(p, t, step, func(g *group) *agent { return d.chooseMember(p, g, t, step) })
	}
	limit, reviewAt := d.paceLimit(p, t, step)
	if a := t.job.lastAgent; a != nil && a != t.avoid && a.pool == p && a.pace <= limit && d.available(a) && step.Resources.Fits(a.free()) {
		return choice{agent: a}
	}
	rest, passed := t.job.unplaced(t.stepNumber), false
	chosen := d.chooseIndexed(p, &p.workers, step, func(a *agent) (float64, bool) {
		if a.pace > limit {
			passed = true
			return 0, false
		}
		if extra, ok := d.reserved(a, nil); ok {
			return a.penalty(t, step, rest) + extra, true
		}
		return 0, false
	})
	if chosen == nil && passed {
		return choice{reviewAt: reviewAt, faster: true}
	}
	return choice{agent: chosen}
}

// paceLimit returns the highest pace at which a task of a step still ends in time, and the time from which on it is late even at the
// usual worker, so that any worker will do. Without it one slow worker makes a wide job late whose other tasks are in time.
func (d *Dispatcher) paceLimit(p *pool, t *task, step *specifier.Step) (limit float64, reviewAt time.Time) {
	reviewAt = t.job.due.Add(-withMargin(time.Duration(float64(step.Estimate) * d.usualPace(p))))
	if !d.now.Before(reviewAt) || !t.job.Transient {
		return maxPaceLimit, reviewAt
	}
	return max(float64(t.job.due.Sub(d.now))/float64(step.Estimate)/paceMargin, slowPace*p.usualPace), reviewAt
}

// chooseIndexed chooses from an index. Workers that have become unavailable are removed until their next report.
func (d *Dispatcher) chooseIndexed(p *pool, x *placer.Index[*agent], step *specifier.Step, penalty func(*agent) (float64, bool)) *agent {
	for {
		var stale []*agent
		chosen, _ := x.Choose(step.Resources.MilliCores, func(a *agent) (float64, bool) {
			if !d.available(a) {
				stale = append(stale, a)
				return 0, false
			}
			if !step.Resources.Fits(a.free()) {
				return 0, false
			}
			return penalty(a)
		})
		for _, a := range stale {
			p.unindex(a)
		}
		if chosen != nil || len(stale) == 0 {
			return chosen
		}
	}
}

// chooseMember chooses a worker of a group, or of the pool if it is nil, for a task that only some workers may run, or that runs
// better at some.
func (d *Dispatcher) chooseMember(p *pool, g *group, t *task, step *specifier.Step) *agent {
	agents, workers, rack := p.members(g), &p.workers, p.rackOf(step)
	if len(agents) <= maxScanned {
		return d.scan(agents, t, step)
	}
	if g != nil {
		workers = d.workers(g)
	}
	chosen := d.chooseIndexed(p, workers, step, func(a *agent) (float64, bool) {
		if step.Label != "" && !slices.Contains(a.worker.Labels, step.Label) {
			return 0, false
		}
		extra, ok := d.reserved(a, rack)
		return a.penalty(t, step, 1) + extra, ok
	})
	if chosen == nil && step.Label != "" && workers.Room() >= step.Resources.MilliCores+levelUnit {
		return d.scan(agents, t, step) // a worker with enough cores lacks something else
	}
	return chosen
}

// scan chooses from a list by looking at each worker.
func (d *Dispatcher) scan(agents []*agent, t *task, step *specifier.Step) *agent {
	var best *agent
	var bestScore float64
	for _, a := range agents {
		if !step.Resources.Fits(a.free()) || best != nil && a.pace >= bestScore || !d.canRun(a, t, step) {
			continue
		}
		extra, ok := d.reserved(a, a.pool.rackOf(step))
		if !ok {
			continue
		}
		if score := a.pace + placer.UseScore(a.free().MilliCores, a.worker.Capacity.MilliCores) + a.penalty(t, step, 1) + extra; best == nil || score < bestScore {
			best, bestScore = a, score
		}
	}
	return best
}

// chooseConstrained chooses for a task with a label, data in a rack, or a limit for each worker. from returns the best worker of a
// group, or of the pool for nil.
func (d *Dispatcher) chooseConstrained(p *pool, t *task, step *specifier.Step, from func(*group) *agent) choice {
	var labelled *group
	if step.Label != "" {
		if labelled = p.groups[step.Label]; labelled == nil {
			return choice{}
		}
	}
	if step.DataRack == "" {
		return choice{agent: from(labelled)}
	}
	rack := p.rackOf(step)
	if rack == nil {
		return choice{agent: from(labelled)}
	}
	near, known := from(rack), d.Settings.RemoteFactor > 1
	if known && near != nil && (near.pace <= slowPace*d.usualPace(p) || d.now.Add(d.runTime(near, step, 1)).Before(t.job.due)) {
		return choice{agent: near}
	}
	far := from(labelled)
	if near != nil {
		if far != nil && d.runTime(far, step, d.cost(far, rack)) < d.runTime(near, step, 1) {
			return choice{agent: far}
		}
		return choice{agent: near}
	}
	if far == nil || !known {
		return choice{agent: far}
	}
	return d.chooseAway(p, t, step, rack, far)
}

// chooseAway decides whether a task whose rack is full runs at the worker far or waits. A run away from its data takes the time of
// others when there is little room, so the task waits while it ends in time near its data. A job that is not transient has no caller
// that waits, but its tasks would hold up the others of its queue, so it does not wait.
func (d *Dispatcher) chooseAway(p *pool, t *task, step *specifier.Step, rack *group, far *agent) choice {
	wait, pace, ok := d.backlog(rack, step.Resources.MilliCores)
	if !ok || !t.job.Transient {
		return choice{agent: far}
	}
	farRun, nearRun := d.runTime(far, step, d.cost(far, rack)), time.Duration(float64(step.Estimate)*pace)
	left, spare := t.job.due.Sub(d.now), p.arrivals.Rate(d.now) < spareShare*d.cores(p)
	switch {
	case spare && farRun <= wait+nearRun:
		return choice{agent: far}
	case wait+withMargin(nearRun) <= left:
		return choice{reviewAt: t.job.due.Add(-wait - withMargin(nearRun) + time.Millisecond), queued: true, away: farRun <= left}
	case farRun <= left:
		return choice{agent: far}
	case nearRun <= left:
		return choice{reviewAt: t.job.due.Add(-nearRun + time.Millisecond)}
	case spare || t.job.started:
		return choice{agent: far}
	}
	return choice{reviewAt: d.now.Add(lateReview)}
}

// remoteFactor returns the factor of a run away from its data.
func (d *Dispatcher) remoteFactor() float64 {
	if d.Settings.RemoteFactor <= 1 {
		return defaultRemoteFactor
	}
	return d.Settings.RemoteFactor
}

// cost returns the factor of a run at a worker for data in a rack, which may be nil.
func (d *Dispatcher) cost(a *agent, rack *group) float64 {
	if rack == nil || a.memberOf(rack) {
		return 1
	}
	return d.remoteFactor()
}

// runTime returns how long a task of a step takes at a worker, with the given cost.
func (d *Dispatcher) runTime(a *agent, step *specifier.Step, cost float64) time.Duration {
	return time.Duration(float64(step.Estimate) * a.pace * cost)
}

// reserved returns the pace that a worker loses in a choice for a task with data in a rack, or none for nil, because tasks with data
// near that worker need it, and false if one of them waits for it.
func (d *Dispatcher) reserved(a *agent, rack *group) (penalty float64, ok bool) {
	if d.Settings.RemoteFactor <= 1 {
		return 0, true
	}
	for _, each := range a.memberships {
		switch g := each.group; {
		case g == rack:
		case g.waiting > 0:
			return 0, false
		default:
			penalty += hotPenalty * g.load(d.now)
		}
	}
	return penalty, true
}

// canRun reports whether a worker may run a task of a step now.
func (d *Dispatcher) canRun(a *agent, t *task, step *specifier.Step) bool {
	return d.available(a) && step.Resources.Fits(a.free()) && (step.Label == "" || slices.Contains(a.worker.Labels, step.Label)) &&
		(step.PerWorker == 0 || a.countRuns(t.job, t.stepNumber) < step.PerWorker)
}

// penalty returns what is against running a task at the worker, beside its pace and use. rest is the number of tasks of the step that
// are not placed.
func (a *agent) penalty(t *task, step *specifier.Step, rest int) float64 {
	penalty := 0.0
	if t.avoid == a {
		penalty += avoidPenalty
	}
	if rest > 1 && step.Resources.MilliCores > 0 {
		fit := min(a.free().MilliCores/step.Resources.MilliCores, rest)
		penalty += splitPenalty * (1 - float64(fit)/float64(rest))
	}
	return penalty
}

// unplaced returns the number of tasks of a step that have not been placed.
func (j *job) unplaced(step int) int {
	count := 0
	for _, t := range j.tasks[step] {
		if t.state < taskPlaced {
			count++
		}
	}
	return count
}
