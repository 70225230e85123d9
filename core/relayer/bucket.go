package relayer

import (
	"sync"
	"time"
)

// maxBurst is how much time's worth of bytes may pass at once after a pause.
const maxBurst = 100 * time.Millisecond

// bucket bounds the rate of bytes that share it.
type bucket struct {
	rate int // bytes per second; 0 for no bound

	mutex  sync.Mutex
	freeAt time.Time // when the bytes taken so far have passed at the rate
}

// take accounts for bytes and returns how long to wait before they are sent.
func (b *bucket) take(now time.Time, bytes int) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if earliest := now.Add(-maxBurst); b.freeAt.Before(earliest) {
		b.freeAt = earliest
	}
	b.freeAt = b.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(b.rate))
	return max(b.freeAt.Sub(now), 0)
}
