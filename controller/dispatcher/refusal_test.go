package dispatcher

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// mustRefuse asserts that a job that waits behind others is refused within a time of its submission, or not.
func mustRefuse(t *testing.T, f *fixture, within time.Duration, want bool) {
	t.Helper()
	refused := false
	for end := f.now.Add(within); f.now.Before(end); {
		f.advance(5 * time.Millisecond)
		for _, reply := range find[Reply](f.actions) {
			refused = refused || reply.Reply.Result == specifier.QueueRefused
		}
		for _, a := range f.d.agentsByName {
			if a.stream != 0 {
				f.report(int(a.stream), nil) // the agent is not silent, and no run ends
			}
		}
	}
	must.Eq(t, want, refused)
}

// A task has an estimate of 100 ms and an objective of 220 ms. Its caller should learn of a refusal within 55 ms.
func TestRefusalIsEarly(t *testing.T) {
	t.Run("a job that can't start is not refused after a quarter of its objective while its answer is of use", func(t *testing.T) {
		// Guards against callers that learn of a refusal when they have waited for the objective in vain.
		f := newFixture(t, 1)
		f.submit("a", 2, true) // takes all the room, and its runs never end
		f.submit("bb", 1, true)
		mustRefuse(t, f, 500*time.Millisecond, false)
		mustRefuse(t, f, 100*time.Millisecond, true)
	})
	t.Run("a job is refused as soon as the workers that it counted on are gone", func(t *testing.T) {
		f := newFixture(t, 4)
		for _, id := range []string{"a", "aa", "aaa", "aaaa"} {
			f.submit(id, 2, true)
		}
		f.submit("wait", 5, true)
		f.submit("waits", 3, true)
		for agent := 2; agent <= 4; agent++ {
			f.step(AgentDisconnected{Stream: Stream(agent)})
		}
		mustRefuse(t, f, 55*time.Millisecond, true)
	})
}

// Guards against refusals that an operator can't explain, and against a log that grows with the load.
func TestShortageIsLogged(t *testing.T) {
	f := newFixture(t, 1)
	refused, logged := 0, 0
	for number := range 60 {
		f.submit(strings.Repeat("a", number+1), 2, true)
		for _, event := range find[LogEvent](f.actions) {
			switch event.Event {
			case "JobRefused":
				refused++
			case "CapacityShort":
				logged++
				must.StrContains(t, event.Detail, "pool p: 2.0 cores, 2.0 in use")
			}
		}
	}
	must.Greater(t, 20, refused)
	must.Eq(t, 1, logged)
}
