package relayer

import (
	"sync"
	"time"
)

const (
	// idleTimeout is how long a tunnel may carry no byte.
	idleTimeout = 10 * time.Second
	// beatInterval is the time between two beats of a tunnel.
	beatInterval = 200 * time.Millisecond
	// stallTimeout is how long a tunnel may be without a beat. It equals the time after which the ends treat unacknowledged bytes
	// as lost, so a relay does not deliver later than a direct connection does.
	stallTimeout = 800 * time.Millisecond
)

// watch decides when a tunnel must end. beat is called every beatInterval while the process runs: a longer gap means that the
// process or its host stood still.
type watch struct {
	mutex          sync.Mutex
	beatAt, byteAt time.Time // of the last beat and the last byte
	err            error
}

func newWatch(now time.Time) *watch { return &watch{beatAt: now, byteAt: now} }

// beat returns why the tunnel must end, or nil.
func (w *watch) beat(now time.Time) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.check(now) == nil && now.Sub(w.byteAt) >= idleTimeout {
		w.err = ErrIdle
	}
	w.beatAt = now
	return w.err
}

// received records that bytes arrived, and returns why they must not be passed on, or nil.
func (w *watch) received(now time.Time) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.byteAt = now
	return w.check(now)
}

// check stores the first error, so that a beat after a stall does not hide the stall from bytes that arrived before it.
func (w *watch) check(now time.Time) error {
	if w.err == nil && now.Sub(w.beatAt) > stallTimeout {
		w.err = ErrStalled
	}
	return w.err
}
