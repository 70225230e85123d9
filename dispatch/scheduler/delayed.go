package scheduler

import "time"

// delayed is a task that is pushed to its queue at a later time.
type delayed struct {
	at   time.Time
	task *task
}

func (d delayed) before(other delayed) bool {
	if !d.at.Equal(other.at) {
		return d.at.Before(other.at)
	}
	return d.task.item.Order.Less(other.task.item.Order)
}
