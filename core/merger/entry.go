package merger

import (
	"time"

	"oleandertally/core/recorder"
)

// Entry is one event of the merged time line.
type Entry struct {
	recorder.Event
	Aligned time.Time // Event.At minus the estimated skew of the process
}
