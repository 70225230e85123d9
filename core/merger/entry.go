package merger

import (
	"time"

	"oleandertally/core/recorder"
)

// Entry is one event of the merged time line.
type Entry struct {
	recorder.Event
	Aligned time.Time // At without the estimated skew of its process
}
