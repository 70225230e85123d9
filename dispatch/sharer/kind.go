package sharer

import "oleandertally/core/container"

// Kind is the waiting items of one kind and the capacity that its running work uses. The user changes InUse when work of the kind
// starts and ends, and Waiting when items are pushed or leave.
type Kind[T any] struct {
	Name    string
	Weight  float64 // part of scarce capacity, relative to the other kinds; more than 0
	InUse   float64 // capacity used by running work
	Waiting float64 // work that waits, in capacity times seconds
	Count   int     // number of waiting items
	Zones   Ledger  // what the zones of the callers ask for and get
	Backlog Backlog // work that waits and can start in time

	items container.Heap[T]
}

// Peek returns the first item.
func (k *Kind[T]) Peek() (T, bool) { return k.items.Peek() }

// Pop removes and returns the first item.
func (k *Kind[T]) Pop() (T, bool) { return k.items.Pop() }

// Push adds an item.
func (k *Kind[T]) Push(item T) { k.items.Push(item) }

// Len returns the number of items, including those that the user no longer counts as waiting.
func (k *Kind[T]) Len() int { return k.items.Len() }

// Scan calls visit for up to limit of the first items, in no particular order.
func (k *Kind[T]) Scan(limit int, visit func(T)) { k.items.Scan(limit, visit) }

// Filter removes the items for which keep returns false.
func (k *Kind[T]) Filter(keep func(T) bool) { k.items.Filter(keep) }

// use returns the capacity in use in relation to the weight.
func (k *Kind[T]) use() float64 { return k.InUse / k.Weight }

// idle reports whether nothing of the kind waits or runs.
func (k *Kind[T]) idle() bool { return k.items.Len() == 0 && k.Count == 0 && k.InUse <= 0 }
