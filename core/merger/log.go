package merger

import (
	"time"

	"oleandertally/core/recorder"
)

// Log is the reply of one process to a request for its events.
type Log struct {
	Events  []recorder.Event
	Dropped int // events that the process's buffer had already evicted

	// RequestedAt and RepliedAt are read on the requesting client's clock. ProcessTime is read on the process's
	// clock between the two. All three are zero when they are unknown.
	RequestedAt time.Time
	RepliedAt   time.Time
	ProcessTime time.Time
}

func (l Log) isTimed() bool {
	return !l.RequestedAt.IsZero() && !l.RepliedAt.IsZero() && !l.ProcessTime.IsZero()
}
