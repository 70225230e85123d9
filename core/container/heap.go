package container

// Heap is a binary heap. Less is set before use. It must be a strict order without ties
// for the pop order to be deterministic.
type Heap[T any] struct {
	Less  func(a, b T) bool
	items []T
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Push adds item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.siftUp(len(h.items) - 1)
}

// Peek returns the least item.
func (h *Heap[T]) Peek() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}

// Pop removes and returns the least item.
func (h *Heap[T]) Pop() (T, bool) {
	least, ok := h.Peek()
	if !ok {
		return least, false
	}
	last := len(h.items) - 1
	h.items[0] = h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if last > 0 {
		h.siftDown(0)
	}
	return least, true
}

// Scan calls visit for up to limit items near the top of the heap, in no particular order.
func (h *Heap[T]) Scan(limit int, visit func(T)) {
	for _, item := range h.items[:min(limit, len(h.items))] {
		visit(item)
	}
}

// Filter removes the items for which keep returns false, and restores the order.
func (h *Heap[T]) Filter(keep func(T) bool) {
	kept := h.items[:0]
	for _, item := range h.items {
		if keep(item) {
			kept = append(kept, item)
		}
	}
	clear(h.items[len(kept):])
	h.items = kept
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}

func (h *Heap[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.Less(h.items[i], h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

func (h *Heap[T]) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.Less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}
