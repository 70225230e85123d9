package supervisor

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// FaultLog logs faults that may repeat quickly, such as an unreachable peer, at a limited rate. Its
// fields must be set before use. It is safe for concurrent use.
type FaultLog struct {
	Log   zerolog.Logger
	Clock func() time.Time

	mutex   sync.Mutex
	limiter FaultLimiter
}

// NewFaultLog returns a fault log that logs faults with the same event and peer at most once in each
// interval.
func NewFaultLog(log zerolog.Logger, interval time.Duration, clock func() time.Time) *FaultLog {
	return &FaultLog{Log: log, Clock: clock, limiter: FaultLimiter{Interval: interval}}
}

// Report logs err as a warning, with the number of equal faults dropped since the last logged one.
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
