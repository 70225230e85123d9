package dispatcher

import (
	"time"
)

// readyTask is an entry of the ready queue. Tasks with the same key are in the order of their sequence numbers.
type readyTask struct {
	key      time.Time
	sequence uint64
	task     *task
}
