package transcriber_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/local/transcriber"
)

// Guards against short work that waits for long work of another entry while a worker is free: an entry
// that has sent an agent nothing lately still counts that agent's slots as free.
func TestShortWorkBesideLongWorkOfAnotherEntry(t *testing.T) {
	s := transcriber.New(eslabon())
	s.Submit("plan", 0, "cut-plan-1", "cut-plan", 20*time.Second, 4*time.Second, 4*time.Second, 4*time.Second)
	s.Advance(500 * ms)
	s.Submit("desk", 1, "quote-1", "quote", time.Second, 60*ms, 60*ms, 60*ms)
	s.Advance(20 * time.Second)
	must.StrContains(t, s.Transcript(), "desk: entry-2 answers Complete")
}
