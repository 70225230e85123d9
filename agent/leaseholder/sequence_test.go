package leaseholder

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a worker whose announcements are ignored for the rest of its life because one had a number that is far too high.
func TestSequenceNumberThatIsTooHigh(t *testing.T) {
	announce := func(f *fixture, sequence uint64, draining bool) {
		announced := f.announcement()
		announced.Sequence, announced.Worker.Draining = sequence, draining
		f.step(announced)
	}
	mustDrain := func(f *fixture, draining bool) {
		f.t.Helper()
		must.Eq(f.t, draining, f.holder.worker.Draining)
	}
	f := newFixture(t)
	announce(f, math.MaxUint64, true)
	mustDrain(f, true)
	f.now = f.now.Add(sequenceTimeout - time.Millisecond)
	announce(f, 2, false) // it may have been delayed
	mustDrain(f, true)
	f.now = f.now.Add(time.Millisecond)
	announce(f, 3, false)
	mustDrain(f, false)
	announce(f, 2, true) // the numbers count again
	mustDrain(f, false)
	announce(f, 4, true)
	mustDrain(f, true)
}
