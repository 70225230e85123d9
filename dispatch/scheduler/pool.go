package scheduler

import (
	"cmp"
	"slices"

	"oleandertally/core/collector"
)

// pool is the agents of one service and the tasks that wait for them.
type pool struct {
	zones   []*zone  // by name
	agents  []*agent // by identity
	waiting [lanes]collector.Heap[waiting]
	queued  [lanes]int // without those of forgotten jobs
}

// waiting is an item in a heap. Forgetting a job only marks it; its items are skipped when they come up.
type waiting struct {
	item Item
	job  *job
	lane lane
}

func newPool() *pool {
	p := &pool{}
	for i := range p.waiting {
		p.waiting[i].Less = func(a, b waiting) bool { return a.item.Order.Less(b.item.Order) }
	}
	return p
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
func (p *pool) peek(kind lane) (waiting, bool) {
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
		heap.Filter(func(w waiting) bool { return !w.job.forgotten })
	}
}
