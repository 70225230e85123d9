package relayer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// moment returns a time on the clock that a test holds.
func moment(millis int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond)
}

// beatUntil lets a watch beat regularly until a moment, and returns the last result.
func beatUntil(w *watch, from, to int) (err error) {
	for at := from; at <= to; at += 200 {
		err = w.beat(moment(at))
	}
	return err
}

func TestWatch(t *testing.T) {
	t.Run("bytes that waited while the relay stood still are not passed on", func(t *testing.T) {
		// Guards against a frozen relay that delivers calls seconds later, when the ends have repeated them elsewhere.
		w := newWatch(moment(0))
		must.NoError(t, w.received(moment(700)))
		must.ErrorIs(t, w.received(moment(2000)), ErrStalled)
	})
	t.Run("a beat before these bytes does not hide the stall", func(t *testing.T) {
		w := newWatch(moment(0))
		must.ErrorIs(t, w.beat(moment(2000)), ErrStalled)
		must.ErrorIs(t, w.received(moment(2001)), ErrStalled)
	})
	t.Run("a connection is idle without bytes only", func(t *testing.T) {
		// Guards against connections of ended processes that occupy the relay, and against the loss of quiet ones.
		w := newWatch(moment(0))
		must.NoError(t, beatUntil(w, 0, 9800))
		must.NoError(t, w.received(moment(9900)))
		must.NoError(t, beatUntil(w, 10000, 19800))
		must.ErrorIs(t, beatUntil(w, 20000, 20000), ErrIdle)
	})
}

// Guards against a relay that takes the whole link from the calls of its own host, or that delays a few messages.
func TestBucket(t *testing.T) {
	b := &bucket{rate: 1000}
	must.Eq(t, 0, b.take(moment(0), 100))
	must.Eq(t, 500*time.Millisecond, b.take(moment(0), 500))
	must.Eq(t, 600*time.Millisecond, b.take(moment(0), 100))
	must.Eq(t, 0, b.take(moment(5000), 100))
	must.Eq(t, 0, (&bucket{}).take(moment(0), 1<<30))
}
