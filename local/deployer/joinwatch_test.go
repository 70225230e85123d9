package deployer_test

import (
	"bytes"
	"sync"
)

// joinWatch reads the log of the controllers and tells when a number of them have become voters.
type joinWatch struct {
	joins  int
	joined chan struct{}

	mutex sync.Mutex
}

func newJoinWatch(joins int) *joinWatch { return &joinWatch{joins: joins, joined: make(chan struct{})} }

// Write takes one log line.
func (w *joinWatch) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if bytes.Contains(line, []byte(`"Event":"Joined"`)) {
		w.joins--
		if w.joins == 0 {
			close(w.joined)
		}
	}
	return len(line), nil
}
