package container

// Queue is first in, first out, with constant amortized cost.
type Queue[T any] struct {
	items []T
	head  int
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items) - q.head }

// Push appends item.
func (q *Queue[T]) Push(item T) { q.items = append(q.items, item) }

// Peek returns the oldest item.
func (q *Queue[T]) Peek() (T, bool) {
	if q.Len() == 0 {
		var zero T
		return zero, false
	}
	return q.items[q.head], true
}

// Each calls visit for every item, oldest first.
func (q *Queue[T]) Each(visit func(T)) {
	for _, item := range q.items[q.head:] {
		visit(item)
	}
}

// Pop removes and returns the oldest item.
func (q *Queue[T]) Pop() (T, bool) {
	var zero T
	if q.Len() == 0 {
		return zero, false
	}
	item := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if q.head > 64 && q.head*2 > len(q.items) {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
	return item, true
}
