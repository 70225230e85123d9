package emulator

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// StartLog counts the starts of tasks on all upstreams and writes one line for each: time, worker, job, task. It is
// safe for concurrent use. Out is set before use and may be nil.
type StartLog struct {
	Out io.Writer

	mutex  sync.Mutex
	starts map[string]int
}

// Add records a start.
func (l *StartLog) Add(at time.Time, worker, job, task string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.starts == nil {
		l.starts = make(map[string]int)
	}
	l.starts[job+"/"+task]++
	if l.Out != nil {
		fmt.Fprintf(l.Out, "%s %s %s %s\n", at.UTC().Format("15:04:05.000"), worker, job, task)
	}
}

// Count returns the number of started tasks, and of those that started more than once.
func (l *StartLog) Count() (tasks, repeated int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, count := range l.starts {
		if count > 1 {
			repeated++
		}
	}
	return len(l.starts), repeated
}

// StartsOf returns how often a task started.
func (l *StartLog) StartsOf(job, task string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.starts[job+"/"+task]
}
