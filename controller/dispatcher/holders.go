package dispatcher

import (
	"slices"
	"strings"
)

func compareHolders(a, b *holder) int { return strings.Compare(a.name, b.name) }

// addHolder makes an agent known. The list by name is kept in order, because it is read at every event.
func (d *Dispatcher) addHolder(h *holder) {
	d.holders[h.name] = h
	at, _ := slices.BinarySearchFunc(d.named, h, compareHolders)
	d.named = slices.Insert(d.named, at, h)
}

func (d *Dispatcher) removeHolder(h *holder) {
	delete(d.holders, h.name)
	if at, found := slices.BinarySearchFunc(d.named, h, compareHolders); found {
		d.named = slices.Delete(d.named, at, at+1)
	}
}
