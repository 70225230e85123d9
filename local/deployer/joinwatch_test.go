package deployer_test

import (
	"bytes"
	"sync"
)

// joinWatch reads the controllers' log and closes joined when a number of them have become voters.
type joinWatch struct {
	remaining int
	joined    chan struct{}

	mutex sync.Mutex
}

func newJoinWatch(joins int) *joinWatch {
	return &joinWatch{remaining: joins, joined: make(chan struct{})}
}

// Write takes one log line.
func (w *joinWatch) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if bytes.Contains(line, []byte(`"Event":"Joined"`)) {
		w.remaining--
		if w.remaining == 0 {
			close(w.joined)
		}
	}
	return len(line), nil
}
