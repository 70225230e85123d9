package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a caller that waits for a job which can't end in time any more, because a new leader still waits for an agent.
func TestHeldJobThatCannotEnd(t *testing.T) {
	for _, each := range []struct {
		name    string
		age     time.Duration
		refused bool
	}{
		{"its shortest run time does not fit", 600 * time.Millisecond, true},
		{"it can still be of use", 500 * time.Millisecond, false},
	} {
		t.Run(each.name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.changeLeader()
			f.submitAs("held", false, each.age) // of use for 660 ms, with 100 ms to run
			f.advance(0)
			if !each.refused {
				must.SliceEmpty(t, find[Reply](f.actions))
				return
			}
			f.mustReply(specifier.QueueRefused)
		})
	}
}
