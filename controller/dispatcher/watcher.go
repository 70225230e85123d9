package dispatcher

import "time"

// watcher is a waiting query for the state of a job that may end at any moment.
type watcher struct {
	from  waiter
	until time.Time // latest time of the reply
}
