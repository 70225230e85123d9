package transcriber_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
	"oleandertally/core/verifier"
	"oleandertally/local/transcriber"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const ms = time.Millisecond

func alisio() transcriber.Site {
	return transcriber.Site{Service: "reservas", Zones: []string{"alajuela", "heredia", "cartago"}, Workers: 3, Slots: 2,
		Hop: 1500 * time.Microsecond, Commit: 6 * ms, Lease: 3 * time.Second,
		Profiles: []specifier.Profile{{Name: "hold", Service: "reservas"}, {Name: "quote", Service: "reservas", Repeatable: true}}}
}

func eslabon() transcriber.Site {
	return transcriber.Site{Service: "cotizador", Zones: []string{"andina-bog", "andina-med", "andina-cali"}, Workers: 3, Slots: 2,
		Hop: time.Millisecond, Commit: 5 * ms, Lease: 3 * time.Second,
		Profiles: []specifier.Profile{{Name: "quote", Service: "cotizador", Repeatable: true}, {Name: "cut-plan", Service: "cotizador"}}}
}

// mustMatch checks that a session ends without open work and violates no guarantee, and that two runs give
// the transcript of the golden file, byte for byte.
func mustMatch(t *testing.T, site transcriber.Site, script func(*transcriber.Session)) {
	t.Helper()
	run := func() string {
		s := transcriber.New(site)
		script(s)
		s.Advance(20 * time.Second)
		must.True(t, s.Idle(), must.Sprint("the site still has work at the end"))
		repeatable := func(id specifier.JobID) bool { return s.IsRepeatable(id) }
		for _, violation := range verifier.Check(s.Events(), verifier.Facts{Repeatable: repeatable}) {
			t.Error(violation)
		}
		return s.Transcript()
	}
	transcript := run()
	must.Eq(t, transcript, run())
	path := filepath.Join("testdata", filepath.Base(t.Name())+".txt")
	if *update {
		must.NoError(t, os.WriteFile(path, []byte(transcript), 0o644))
	}
	golden, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, string(golden), transcript)
}

// Guards against unintended changes of the answers, operator results and events of whole sessions.
func TestSessions(t *testing.T) {
	t.Run("alisio-day", func(t *testing.T) {
		mustMatch(t, alisio(), func(s *transcriber.Session) {
			s.Submit("ana", 0, "hold-seat-12", "hold", 5*time.Second, 200*ms)
			s.Advance(40 * ms)
			s.Submit("beto", 1, "quote-trip-7", "quote", 5*time.Second, 120*ms, 300*ms, 80*ms)
			s.Advance(time.Second)
			s.Submit("ana", 2, "hold-seat-12", "hold", 5*time.Second, 200*ms)
			s.Submit("carla", 2, "hold-seat-13", "hold", 5*time.Second, 900*ms)
			s.Advance(100 * ms)
			s.Cancel("carla", 2, "hold-seat-13")
			s.Submit("dario", 0, "hold-seat-14", "no-such-profile", 5*time.Second, 200*ms)
		})
	})
	t.Run("eslabon-day", func(t *testing.T) {
		mustMatch(t, eslabon(), func(s *transcriber.Session) {
			s.Submit("plan", 0, "cut-plan-1", "cut-plan", 20*time.Second, 4*time.Second, 3*time.Second, 3*time.Second)
			s.Advance(500 * ms)
			for i := range 4 {
				s.Submit(fmt.Sprintf("desk-%d", i+1), i%3, fmt.Sprintf("quote-%d", i+1), "quote", 3*time.Second, 60*ms, 90*ms)
				s.Advance(70 * ms)
			}
		})
	})
	t.Run("burst", func(t *testing.T) {
		mustMatch(t, alisio(), func(s *transcriber.Session) {
			for i := range 18 {
				s.Submit(fmt.Sprintf("caller-%02d", i+1), i%3, fmt.Sprintf("hold-%d", i+1), "hold", 1500*ms, 250*ms, 250*ms)
			}
			s.Advance(3 * time.Second)
			s.Submit("late", 0, "hold-after", "hold", 1500*ms, 250*ms)
		})
	})
	t.Run("doubled-hold", func(t *testing.T) {
		mustMatch(t, alisio(), func(s *transcriber.Session) {
			s.Submit("ana", 0, "hold-seat-12", "hold", 5*time.Second, 400*ms)
			s.Submit("ana again", 1, "hold-seat-12", "hold", 5*time.Second, 400*ms)
			s.Advance(200 * ms)
			s.Submit("ana a third time", 0, "hold-seat-12", "hold", 4*time.Second, 400*ms)
			s.Submit("other body", 2, "hold-seat-12", "hold", 4*time.Second, 500*ms)
			s.Advance(2 * time.Second)
			s.Submit("ana after the answer", 2, "hold-seat-12", "hold", 4*time.Second, 400*ms)
		})
	})
	t.Run("lost-cut-plan", func(t *testing.T) {
		mustMatch(t, eslabon(), func(s *transcriber.Session) {
			s.Submit("plan", 0, "cut-plan-1", "cut-plan", 20*time.Second, 2*time.Second, 900*ms, 900*ms, 2*time.Second, 900*ms, 900*ms, 900*ms, 900*ms)
			s.Advance(1200 * ms)
			s.KillEntry(0)
			s.Submit("plan again", 0, "cut-plan-1", "cut-plan", 18*time.Second, 2*time.Second, 900*ms, 900*ms, 2*time.Second, 900*ms, 900*ms, 900*ms, 900*ms)
			s.Submit("plan again", 1, "cut-plan-1", "cut-plan", 18*time.Second, 2*time.Second, 900*ms, 900*ms, 2*time.Second, 900*ms, 900*ms, 900*ms, 900*ms)
		})
	})
	t.Run("rolling-restart", func(t *testing.T) {
		mustMatch(t, alisio(), func(s *transcriber.Session) {
			for i := range 3 {
				s.Submit(fmt.Sprintf("before-%d", i+1), i, fmt.Sprintf("hold-%d", i+1), "hold", 8*time.Second, 700*ms, 200*ms)
				s.Advance(20 * ms)
				s.Drain("olga", fmt.Sprintf("worker-%d", i+1), true)
				s.Submit(fmt.Sprintf("during-%d", i+1), (i+1)%3, fmt.Sprintf("hold-during-%d", i+1), "hold", 8*time.Second, 100*ms)
				s.Advance(1500 * ms)
				s.RestartAgent(i)
				s.Drain("olga", fmt.Sprintf("worker-%d", i+1), false)
				s.Advance(500 * ms)
			}
			for i := range 3 {
				s.Submit(fmt.Sprintf("inside-%d", i+1), i, fmt.Sprintf("hold-inside-%d", i+1), "hold", 8*time.Second, 300*ms)
				s.Advance(20 * ms)
				s.StopEntry(i)
				s.Submit(fmt.Sprintf("refused-%d", i+1), i, fmt.Sprintf("hold-refused-%d", i+1), "hold", 8*time.Second, 300*ms)
				s.Advance(time.Second)
				s.RestartEntry(i)
				s.Advance(100 * ms)
			}
		})
	})
	t.Run("operators-race", func(t *testing.T) {
		mustMatch(t, alisio(), func(s *transcriber.Session) {
			olga := change("olga", "olga-1", 1, specifier.Profile{Name: "hold", Service: "reservas", Priority: 3})
			pablo := change("pablo", "pablo-1", 1, specifier.Profile{Name: "hold", Service: "reservas", Priority: 5})
			s.Configure(olga)
			s.Configure(pablo)
			s.Submit("ana", 0, "hold-seat-12", "hold", 5*time.Second, 200*ms)
			s.Advance(time.Second)
			s.Configure(olga) // the first answer was lost
			s.Advance(time.Second)
			s.Configure(change("pablo", "pablo-2", 2, specifier.Profile{Name: "quote", Service: "reservas", Repeatable: true, Priority: 1}))
			s.Configure(change("pablo", "pablo-1", 2, specifier.Profile{Name: "hold", Service: "reservas", Priority: 7}))
			s.Advance(time.Second)
			s.Submit("beto", 1, "hold-seat-13", "hold", 5*time.Second, 200*ms)
		})
	})
	t.Run("lost-zone", func(t *testing.T) {
		mustMatch(t, alisio(), func(s *transcriber.Session) {
			s.Submit("ana", 0, "hold-wide", "hold", 12*time.Second, 800*ms, 800*ms, 800*ms, 800*ms, 800*ms, 800*ms)
			s.Submit("beto", 1, "quote-wide", "quote", 12*time.Second, 500*ms, 500*ms, 500*ms, 500*ms)
			s.Submit("carla", 1, "hold-narrow", "hold", 12*time.Second, 300*ms)
			s.Advance(300 * ms)
			s.LoseZone("alajuela")
			s.Submit("ana again", 2, "hold-wide", "hold", 11*time.Second, 800*ms, 800*ms, 800*ms, 800*ms, 800*ms, 800*ms)
			s.Advance(8 * time.Second)
			s.Submit("dario", 2, "hold-after", "hold", 5*time.Second, 200*ms, 200*ms)
		})
	})
}

func change(operator, request string, from specifier.Revision, profile specifier.Profile) specifier.ChangeConfiguration {
	return specifier.ChangeConfiguration{RequestID: request, Operator: operator, From: from, Profiles: []specifier.Profile{profile}}
}
