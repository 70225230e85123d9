package scheduler

// zone is the agents of one service in one availability zone.
type zone struct {
	name  string
	index [lanes]index
	slots int
	long  int // tasks in the limited lane that this entry holds there
}
