package sharer

import (
	"cmp"
	"slices"

	"oleandertally/core/container"
)

// Queue holds the kinds that have waiting or running work in one pool. Less orders the items of a kind and is set before use; it
// must be a strict order without ties.
type Queue[T any] struct {
	Less  func(a, b T) bool
	kinds []*Kind[T] // by name
}

// maxIdleKinds is the number of kinds from which on idle ones are removed.
const maxIdleKinds = 64

// Kind returns the kind with a name, and adds it with the weight if it is new.
func (q *Queue[T]) Kind(name string, weight float64) *Kind[T] {
	at, found := slices.BinarySearchFunc(q.kinds, name, func(k *Kind[T], name string) int { return cmp.Compare(k.Name, name) })
	if found {
		q.kinds[at].Weight = weight
		return q.kinds[at]
	}
	added := &Kind[T]{Name: name, Weight: weight, items: container.Heap[T]{Less: q.Less}}
	if len(q.kinds) >= maxIdleKinds {
		q.kinds = slices.DeleteFunc(q.kinds, (*Kind[T]).idle)
		at, _ = slices.BinarySearchFunc(q.kinds, name, func(k *Kind[T], name string) int { return cmp.Compare(k.Name, name) })
	}
	q.kinds = slices.Insert(q.kinds, at, added)
	return added
}

// Kinds returns the kinds by name. The result must not be modified.
func (q *Queue[T]) Kinds() []*Kind[T] { return q.kinds }

// InUse returns the capacity that the running work of all kinds uses.
func (q *Queue[T]) InUse() float64 {
	total := 0.0
	for _, kind := range q.kinds {
		total += kind.InUse
	}
	return total
}

// Next returns the kind whose turn it is: of those with items that skip does not exclude, the one that uses the least capacity in
// relation to its weight, and of equal ones the first by name. It returns nil if there is none.
func (q *Queue[T]) Next(skip func(*Kind[T]) bool) *Kind[T] {
	var next *Kind[T]
	for _, kind := range q.kinds {
		if kind.Len() > 0 && (next == nil || kind.use() < next.use()) && !skip(kind) {
			next = kind
		}
	}
	return next
}

// Share returns the capacity that a kind can expect while it has work waiting: what the kinds with less demand leave is divided
// among the others by their weights.
func (q *Queue[T]) Share(kind *Kind[T], capacity float64) float64 {
	weights, satisfied := kind.Weight, make([]bool, len(q.kinds))
	for i, other := range q.kinds {
		if satisfied[i] = other == kind || other.idle(); !satisfied[i] {
			weights += other.Weight
		}
	}
	for again := true; again; {
		again = false
		for i, other := range q.kinds {
			if !satisfied[i] && other.Count == 0 && other.use() < capacity/weights {
				capacity, weights = capacity-other.InUse, weights-other.Weight
				satisfied[i], again = true, true
			}
		}
	}
	return max(capacity, 0) * kind.Weight / weights
}
