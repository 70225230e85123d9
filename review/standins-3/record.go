package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	began   time.Time
	faults  int
	tracing bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// note writes one line with the seconds since the case began.
func (r *record) note(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line) // a record that can't be written changes no verdict
	if r.tracing {
		fmt.Print(line)
	}
}

// broken notes that the rule was broken.
func (r *record) broken(format string, args ...any) {
	r.note("BROKEN: "+format, args...)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults++
}

func (r *record) isBroken() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.faults > 0
}
