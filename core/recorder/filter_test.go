package recorder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

var (
	baseTime = time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)
	hold     = specifier.NewJobID("reservas", "hold-1")
	quote    = specifier.NewJobID("ventas", "quote-1")
)

// newBuffer returns a buffer to which six events were added one second apart: for each of two jobs, one event for each
// of three workers.
func newBuffer(size int) *Buffer {
	now := baseTime
	buffer := &Buffer{Process: "entry-a/0000000000000001", Cap: size, Clock: func() time.Time { return now }}
	for _, job := range []specifier.JobID{hold, quote} {
		for _, worker := range []string{"worker-a", "worker-b/0000000000000002", "worker-b/0000000000000003"} {
			buffer.Add(Event{Kind: TaskAssigned, Job: job, Other: worker})
			now = now.Add(time.Second)
		}
	}
	return buffer
}

func assertSelected(t *testing.T, filter Filter, sequences ...uint64) {
	t.Helper()
	events, _ := newBuffer(100).Select(filter)
	var got []uint64
	for _, event := range events {
		got = append(got, event.Sequence)
	}
	must.Eq(t, sequences, got)
}

// Guards against a selection that contains events of another job, worker or time, or that lacks events.
func TestFilter(t *testing.T) {
	t.Run("all", func(t *testing.T) { assertSelected(t, Filter{}, 1, 2, 3, 4, 5, 6) })
	t.Run("job", func(t *testing.T) { assertSelected(t, Filter{Job: quote}, 4, 5, 6) })
	t.Run("worker by name", func(t *testing.T) { assertSelected(t, Filter{Worker: "worker-b"}, 2, 3, 5, 6) })
	t.Run("one incarnation of a worker", func(t *testing.T) {
		assertSelected(t, Filter{Worker: "worker-b/0000000000000003"}, 3, 6)
	})
	t.Run("own process", func(t *testing.T) { assertSelected(t, Filter{Worker: "entry-a", Job: hold}, 1, 2, 3) })
	t.Run("span", func(t *testing.T) {
		assertSelected(t, Filter{Span: Span{From: baseTime.Add(time.Second), To: baseTime.Add(2 * time.Second)}}, 2, 3)
	})
}

// Guards against a full buffer that does not report how many events it dropped.
func TestSelectCountsDropped(t *testing.T) {
	events, dropped := newBuffer(4).Select(Filter{Job: hold})
	must.Len(t, 1, events)
	must.Eq(t, 2, dropped)
}
