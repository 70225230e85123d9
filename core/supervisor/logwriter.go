package supervisor

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
	"golang.org/x/sync/errgroup"
)

const (
	// maxBufferedLines is how many log lines are buffered for a slow reader before the oldest are dropped.
	maxBufferedLines = 8192
	// flushTimeout limits how long an exiting process waits for the reader of its log.
	flushTimeout = 200 * time.Millisecond
)

// LogWriter buffers log lines for another writer, so that logging never blocks. When the buffer is full,
// the oldest lines are dropped and counted.
type LogWriter struct {
	diode   diode.Writer
	dropped atomic.Int64
	group   errgroup.Group
	once    sync.Once
}

// NewLogWriter returns a LogWriter that writes to out in the background.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{}
	w.diode = diode.NewWriter(out, maxBufferedLines, 0, func(missed int) { w.dropped.Add(int64(missed)) })
	return w
}

// Write buffers one line. It never blocks.
func (w *LogWriter) Write(line []byte) (int, error) { return w.diode.Write(line) }

// Dropped returns how many lines have been dropped so far.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close waits until the buffered lines are written, but no longer than flushTimeout.
func (w *LogWriter) Close() {
	w.once.Do(func() {
		ended := make(chan struct{})
		w.group.Go(func() error { defer close(ended); return w.diode.Close() })
		timer := time.NewTimer(flushTimeout)
		defer timer.Stop()
		select {
		case <-ended:
		case <-timer.C:
		}
	})
}
