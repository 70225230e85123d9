package transcriber_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/local/transcriber"
)

// Guards against short tasks that wait behind the long tasks of another entry while a worker is free. This
// happens if an entry that has recently sent nothing to an agent assumes that all its slots are free.
func TestShortWorkBesideLongWorkOfAnotherEntry(t *testing.T) {
	s := transcriber.New(eslabon())
	s.Submit("plan", 0, "cut-plan-1", "cut-plan", 20*time.Second, 4*time.Second, 4*time.Second, 4*time.Second)
	s.Advance(500 * ms)
	s.Submit("desk", 1, "quote-1", "quote", time.Second, 60*ms, 60*ms, 60*ms)
	s.Advance(20 * time.Second)
	must.StrContains(t, s.Transcript(), "desk: entry-2 answers Complete")
}
