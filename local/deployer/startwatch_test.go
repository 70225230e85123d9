package deployer_test

import (
	"strings"
	"sync"
)

// startWatch takes the upstreams' log of starts and tells when a number of tasks have started since
// it was armed.
type startWatch struct {
	after   int
	reached chan struct{}

	mutex   sync.Mutex
	armed   bool
	count   int
	workers map[string]int
}

func newStartWatch(after int) *startWatch {
	return &startWatch{after: after, reached: make(chan struct{}), workers: make(map[string]int)}
}

// Write takes one line: time, worker, job, task.
func (w *startWatch) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.workers[strings.Fields(string(line))[1]]++
	w.count++
	if w.armed && w.count == w.after {
		close(w.reached)
	}
	return len(line), nil
}

// busy reports whether a worker has started a task.
func (w *startWatch) busy(worker string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.workers[worker] > 0
}

// arm forgets what has started and begins to count.
func (w *startWatch) arm() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.armed, w.count = true, 0
	clear(w.workers)
}
