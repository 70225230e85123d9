package supervisor

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// blockedOutput is an output that blocks every write until release is closed.
type blockedOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	out     bytes.Buffer
}

func (s *blockedOutput) Write(line []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.out.Write(line)
}

func (s *blockedOutput) text() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.out.String()
}

func TestLogWriter(t *testing.T) {
	// Guards against a process that blocks because no process reads its log.
	t.Run("an output that nobody reads", func(t *testing.T) {
		out := &blockedOutput{release: make(chan struct{})}
		w := NewLogWriter(out)
		for range 3 * maxBufferedLines {
			n, err := w.Write([]byte("line\n"))
			must.NoError(t, err)
			must.Eq(t, 5, n)
		}
		w.Close()
		close(out.release)
	})
	// Guards against lines that are lost although the output is read.
	t.Run("an output that is read", func(t *testing.T) {
		out := &blockedOutput{release: make(chan struct{})}
		close(out.release)
		w := NewLogWriter(out)
		for range 100 {
			_, err := w.Write([]byte("line\n"))
			must.NoError(t, err)
		}
		w.Close()
		must.Eq(t, 100, strings.Count(out.text(), "line\n"))
		must.Eq(t, 0, w.Dropped())
	})
}
