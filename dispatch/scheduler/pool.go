package scheduler

import (
	"cmp"
	"slices"
	"time"

	"oleandertally/core/container"
	"oleandertally/dispatch/limiter"
)

// pool is the agents of one service and the tasks that wait for them.
type pool struct {
	zones   []*zone  // by name
	agents  []*agent // by identity
	waiting [lanes]container.Heap[*task]
	queued  [lanes]int           // without those of forgotten jobs
	work    [lanes]time.Duration // expected run time of the queued tasks
	held    int                  // tasks that agents hold for this entry
	long    int                  // of them, those in the limited lane
	short   headroom
	limiter limiter.Limiter
}

func newPool() *pool {
	p := &pool{}
	for i := range p.waiting {
		p.waiting[i].Less = func(a, b *task) bool { return a.item.Order.Less(b.item.Order) }
	}
	return p
}

// count adds or removes a waiting task in the totals.
func (p *pool) count(task *task, change int) {
	p.queued[task.lane] += change
	p.work[task.lane] += time.Duration(change) * task.expected
	task.job.waiting[task.lane] += change
	p.limiter.AddWaiting(task.item.Team, change, time.Duration(change)*task.expected)
	task.job.work[task.lane] += time.Duration(change) * task.expected
}

// zone returns the zone of a name, which it adds when it is new.
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

// peek returns the first task of a lane whose job is not forgotten.
func (p *pool) peek(kind lane) (*task, bool) {
	heap := &p.waiting[kind]
	for {
		first, ok := heap.Peek()
		if !ok || !first.job.forgotten {
			return first, ok
		}
		heap.Pop()
	}
}

// compact drops the tasks of forgotten jobs once they are most of a heap, so that a wave of
// cancellations costs constant amortized time for each task.
func (p *pool) compact(kind lane) {
	heap := &p.waiting[kind]
	if heap.Len() > 64 && heap.Len() > 2*p.queued[kind] {
		heap.Filter(func(t *task) bool { return !t.job.forgotten })
	}
}
