package jobrecorder

import "cmp"

// place names a task within its job.
type place struct {
	step  int
	index int
}

func comparePlaces(a, b place) int {
	return cmp.Or(cmp.Compare(a.step, b.step), cmp.Compare(a.index, b.index))
}
