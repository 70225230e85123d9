package dispatcher

import (
	"cmp"
	"slices"
)

// waiter is a call that waits for its reply.
type waiter struct {
	stream   Stream
	sequence uint64
}

func sortWaiters(list []waiter) {
	slices.SortFunc(list, func(a, b waiter) int {
		if order := cmp.Compare(a.stream, b.stream); order != 0 {
			return order
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
}
