package merger

import (
	"time"

	"oleandertally/core/recorder"
)

// Log is what one process answered when its events were gathered.
type Log struct {
	Events  []recorder.Event
	Dropped int // events that its buffer no longer held

	// Asked and Answered are on the gatherer's clock, Now is on the process's clock, read
	// between the two. All are zero when unknown.
	Asked    time.Time
	Answered time.Time
	Now      time.Time
}

func (l Log) isTimed() bool { return !l.Asked.IsZero() && !l.Answered.IsZero() && !l.Now.IsZero() }
