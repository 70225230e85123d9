package supervisor

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// FaultLog logs faults that may repeat quickly, such as a peer that cannot be reached. Fields
// are set before use; it is safe for concurrent use.
type FaultLog struct {
	Log   zerolog.Logger
	Clock func() time.Time

	mutex   sync.Mutex
	limiter FaultLimiter
}

// NewFaultLog returns a log that repeats an equal event about an equal peer once in every.
func NewFaultLog(log zerolog.Logger, every time.Duration, clock func() time.Time) *FaultLog {
	return &FaultLog{Log: log, Clock: clock, limiter: FaultLimiter{Interval: every}}
}

// Report logs err as a warning, with the number of equal faults that were dropped before it.
func (f *FaultLog) Report(fields Fields, err error) {
	f.mutex.Lock()
	dropped, ok := f.limiter.Allow(f.Clock(), fields.Event+"\x00"+fields.Peer)
	f.mutex.Unlock()
	if !ok {
		return
	}
	event := f.Log.Warn().EmbedObject(fields).Err(err)
	if dropped > 0 {
		event = event.Int("Dropped", dropped)
	}
	event.Msg("fault")
}
