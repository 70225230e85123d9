package deployer_test

import (
	"strings"
	"sync"
)

// startWatch reads the upstreams' log of starts and closes reached when as many tasks as its threshold have
// started since reset.
type startWatch struct {
	threshold int
	reached   chan struct{}

	mutex    sync.Mutex
	counting bool
	count    int
	workers  map[string]int
}

func newStartWatch(threshold int) *startWatch {
	return &startWatch{threshold: threshold, reached: make(chan struct{}), workers: make(map[string]int)}
}

// Write reads one log line: time, worker, job, task.
func (w *startWatch) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.workers[strings.Fields(string(line))[1]]++
	w.count++
	if w.counting && w.count == w.threshold {
		close(w.reached)
	}
	return len(line), nil
}

// busy reports whether a worker has started a task since reset.
func (w *startWatch) busy(worker string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.workers[worker] > 0
}

// reset clears the counts and begins to count towards the threshold.
func (w *startWatch) reset() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.counting, w.count = true, 0
	clear(w.workers)
}
