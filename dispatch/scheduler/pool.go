package scheduler

import (
	"cmp"
	"slices"
	"time"

	"oleandertally/core/container"
	"oleandertally/dispatch/limiter"
)

// pool contains the agents of one service and the tasks that wait for them.
type pool struct {
	zones        []*zone  // by name
	agents       []*agent // by identity
	waiting      [laneCount]container.Heap[*task]
	queued       [laneCount]int           // number of waiting tasks, without those of abandoned jobs
	work         [laneCount]time.Duration // expected run time of the waiting tasks
	assigned     int                      // tasks of this entry that are assigned to agents
	longAssigned int                      // assigned tasks in the long lane
	shortNeed    headroom
	limiter      limiter.Limiter
}

func newPool() *pool {
	p := &pool{}
	for i := range p.waiting {
		p.waiting[i].Less = func(a, b *task) bool { return a.item.Order.Less(b.item.Order) }
	}
	return p
}

// addToTotals adds a waiting task to the totals, or removes it, by a change of 1 or -1.
func (p *pool) addToTotals(task *task, change int) {
	p.queued[task.lane] += change
	p.work[task.lane] += time.Duration(change) * task.expected
	task.job.waiting[task.lane] += change
	p.limiter.AddWaiting(task.item.Team, change, time.Duration(change)*task.expected)
	task.job.work[task.lane] += time.Duration(change) * task.expected
}

// zone returns the zone with a name, and adds the zone if it is new.
func (p *pool) zone(name string) *zone {
	for _, each := range p.zones {
		if each.name == name {
			return each
		}
	}
	added := &zone{name: name}
	p.zones = append(p.zones, added)
	slices.SortFunc(p.zones, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return added
}

// peek returns the first task of a lane whose job is not abandoned.
func (p *pool) peek(lane lane) (*task, bool) {
	heap := &p.waiting[lane]
	for {
		first, ok := heap.Peek()
		if !ok || !first.job.abandoned {
			return first, ok
		}
		heap.Pop()
	}
}

// compact removes the tasks of abandoned jobs once they are the majority of a heap, so that a wave of cancellations costs
// constant amortized time for each task.
func (p *pool) compact(lane lane) {
	heap := &p.waiting[lane]
	if heap.Len() > 64 && heap.Len() > 2*p.queued[lane] {
		heap.Filter(func(t *task) bool { return !t.job.abandoned })
	}
}
