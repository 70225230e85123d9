package container

// Interner stores each distinct value once and counts its uses, so that many records can refer
// to it by a small number. The zero value of T has number 0 and is not counted.
type Interner[T comparable] struct {
	numbers map[T]uint32
	items   []T
	uses    []uint32
	free    []uint32
}

// Acquire returns the number of item and counts one use.
func (n *Interner[T]) Acquire(item T) uint32 {
	var zero T
	if item == zero {
		return 0
	}
	number, ok := n.numbers[item]
	if !ok {
		number = n.add(item)
	}
	n.uses[number]++
	return number
}

// Release ends one use of number and deletes its value after the last use.
func (n *Interner[T]) Release(number uint32) {
	if number == 0 {
		return
	}
	n.uses[number]--
	if n.uses[number] > 0 {
		return
	}
	var zero T
	delete(n.numbers, n.items[number])
	n.items[number] = zero
	n.free = append(n.free, number)
}

// Get returns the value of number.
func (n *Interner[T]) Get(number uint32) T {
	var zero T
	if number == 0 {
		return zero
	}
	return n.items[number]
}

// Find returns the number of item, or false when it is not stored.
func (n *Interner[T]) Find(item T) (uint32, bool) {
	var zero T
	number, ok := n.numbers[item]
	return number, ok || item == zero
}

// Len returns the number of stored values.
func (n *Interner[T]) Len() int { return len(n.numbers) }

// All calls visit for each stored value, in the order of their numbers.
func (n *Interner[T]) All(visit func(number uint32, item T)) {
	for number, uses := range n.uses {
		if uses > 0 {
			visit(uint32(number), n.items[number])
		}
	}
}

func (n *Interner[T]) add(item T) uint32 {
	if n.numbers == nil {
		var zero T
		n.numbers, n.items, n.uses = make(map[T]uint32), []T{zero}, []uint32{0}
	}
	var number uint32
	if last := len(n.free) - 1; last >= 0 {
		number, n.free = n.free[last], n.free[:last]
		n.items[number] = item
	} else {
		number = uint32(len(n.items))
		n.items, n.uses = append(n.items, item), append(n.uses, 0)
	}
	n.numbers[item] = number
	return number
}
