package jobrecorder

import "cmp"

// position identifies a task within its job.
type position struct {
	step  int
	index int
}

func comparePositions(a, b position) int {
	return cmp.Or(cmp.Compare(a.step, b.step), cmp.Compare(a.index, b.index))
}
