package leaseholder

// Completeness tells what may be concluded from a run that the worker does not list.
type Completeness uint8

const (
	// ListCut is a list with as many ends as fit into one answer: the worker may hold more. It lists those after the acknowledged ones.
	ListCut Completeness = iota
	// ListUnreadable is a list that the worker did not cut, but of which some rows could not be read.
	ListUnreadable
	// ListComplete holds every run in progress and every end that is not acknowledged.
	ListComplete
)
