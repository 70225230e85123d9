package merger

import (
	"oleandertally/core/container"
)

// order is a topological sort that places the earliest ready entry first. Its entries are sorted by process and
// sequence number.
type order struct {
	entries       []Entry
	effects       [][]int // indexes of the effects of each entry at other processes
	pending       []int   // number of causes of each entry that are not placed yet
	placed        []bool
	queued        []bool
	ready         container.Heap[int]
	violatedLinks int
}

func newOrder(entries []Entry, links []Link) *order {
	o := &order{
		entries: entries,
		effects: make([][]int, len(entries)),
		pending: make([]int, len(entries)),
		placed:  make([]bool, len(entries)),
		queued:  make([]bool, len(entries)),
	}
	o.ready.Less = o.less
	for _, l := range links {
		o.effects[l.From] = append(o.effects[l.From], l.To)
		o.pending[l.To]++
	}
	return o
}

func (o *order) less(a, b int) bool {
	if at, bt := o.entries[a].Aligned, o.entries[b].Aligned; !at.Equal(bt) {
		return at.Before(bt)
	}
	return a < b
}

// run returns the entries in order, and the new position of each.
func (o *order) run() ([]Entry, []int) {
	sorted := make([]Entry, 0, len(o.entries))
	position := make([]int, len(o.entries))
	for i := range o.entries {
		o.enqueueIfReady(i)
	}
	for len(sorted) < len(o.entries) {
		i, ok := o.ready.Pop()
		if !ok {
			i = o.breakCycle()
		}
		position[i] = len(sorted)
		sorted = append(sorted, o.entries[i])
		o.place(i)
	}
	return sorted, position
}

// place marks entry i as placed and enqueues the entries that become ready by it.
func (o *order) place(i int) {
	o.placed[i] = true
	for _, effect := range o.effects[i] {
		o.pending[effect]--
		o.enqueueIfReady(effect)
	}
	if i+1 < len(o.entries) {
		o.enqueueIfReady(i + 1)
	}
}

// enqueueIfReady makes entry i ready when its predecessor and all its causes are placed.
func (o *order) enqueueIfReady(i int) {
	if !o.queued[i] && o.pending[i] <= 0 && o.isNext(i) {
		o.queued[i] = true
		o.ready.Push(i)
	}
}

// isNext reports whether the previous event of the same process is placed.
func (o *order) isNext(i int) bool {
	return i == 0 || o.entries[i-1].Process != o.entries[i].Process || o.placed[i-1]
}

// breakCycle returns the earliest entry that waits only for causes at other processes. Links can contradict each other
// when events were dropped; the other entries are still shown in order.
func (o *order) breakCycle() int {
	earliest := -1
	for i := range o.entries {
		if !o.placed[i] && o.isNext(i) && (earliest < 0 || o.less(i, earliest)) {
			earliest = i
		}
	}
	o.violatedLinks += o.pending[earliest]
	o.queued[earliest] = true
	return earliest
}
