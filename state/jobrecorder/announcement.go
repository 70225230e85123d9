package jobrecorder

import "time"

// announcement is a transient job that a leader may have started.
type announcement struct {
	id    string
	until time.Time // by the log's clock; it is forgotten then
}
