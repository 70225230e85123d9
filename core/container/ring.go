package container

// Ring keeps the last Cap items. Cap is set before use.
type Ring[T any] struct {
	Cap     int
	items   []T
	next    int
	dropped int
}

// Add appends item and drops the oldest one when the ring is full.
func (r *Ring[T]) Add(item T) {
	if len(r.items) < r.Cap {
		r.items = append(r.items, item)
		return
	}
	r.items[r.next] = item
	r.next = (r.next + 1) % r.Cap
	r.dropped++
}

// All returns the items from oldest to newest.
func (r *Ring[T]) All() []T {
	all := make([]T, 0, len(r.items))
	all = append(all, r.items[r.next:]...)
	return append(all, r.items[:r.next]...)
}

// Dropped returns how many items were overwritten.
func (r *Ring[T]) Dropped() int { return r.dropped }
