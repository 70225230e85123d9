package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// newAnnouncing returns a fixture whose leader has announced its jobs for long enough that the next leader may rely on it.
func newAnnouncing(t *testing.T, agents int) *fixture {
	t.Helper()
	f := newFixture(t, agents)
	f.d.Settings.ResendAfter = 1300 * time.Millisecond
	f.step(BecameFollower{})
	f.step(BecameLeader{Term: 2})
	for agent := 1; agent <= agents; agent++ {
		f.attach(agent)
	}
	f.pass(agents, announceOnAfter)
	must.True(t, f.d.Recorder.Announcing())
	return f
}

// pass lets time pass while the agents report.
func (f *fixture) pass(agents int, span time.Duration) {
	for until := f.now.Add(span); f.now.Before(until); {
		f.now = f.now.Add(100 * time.Millisecond)
		for agent := 1; agent <= agents; agent++ {
			f.report(agent, nil)
		}
	}
}

// submitAs submits a job of one task with the given age, as a call that was sent before or not.
func (f *fixture) submitAs(id string, resubmitted bool, age time.Duration) {
	f.step(CallReceived{Stream: caller, Sequence: uint64(len(id)), Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/" + id, Resubmitted: resubmitted, Age: age,
		Job: specifier.QueuedJob{Transient: true, Steps: []specifier.Step{{Count: 1, Resources: specifier.Resources{MilliCores: 1000, Memory: 1}, Estimate: f.estimate}}}}})
}

// changeLeader makes the dispatcher the leader of the next term; only the first agent attaches.
func (f *fixture) changeLeader() {
	f.step(BecameFollower{})
	f.step(BecameLeader{Term: f.d.term + 1})
	f.attach(1)
}

func TestNewLeaderStartsNewJobs(t *testing.T) {
	t.Run("although an agent does not answer", func(t *testing.T) {
		// Guards against more than a second without starts after each change of leader while any agent is unreachable.
		f := newAnnouncing(t, 2)
		f.changeLeader()
		f.submitAs("new", false, 0)
		must.SliceLen(t, 1, f.starts())
	})
	t.Run("but not one that an earlier leader announced", func(t *testing.T) {
		// Guards against a second run beside the one at the agent that does not answer.
		f := newAnnouncing(t, 2)
		f.submitAs("old", false, 0)
		must.SliceLen(t, 1, f.starts())
		f.changeLeader()
		f.submitAs("old", false, 0)
		must.SliceEmpty(t, f.starts())
		f.pass(1, f.d.Settings.GrantSpan+f.d.Settings.GrantMargin)
		must.SliceLen(t, 1, f.d.agents[agentName(1)].sortedRuns())
	})
	t.Run("nor one that its entry had sent before", func(t *testing.T) {
		f := newAnnouncing(t, 2)
		f.changeLeader()
		f.submitAs("sent", true, 0)
		must.SliceEmpty(t, f.starts())
	})
	t.Run("nor any where callers may send a job again at once", func(t *testing.T) {
		f := newFixture(t, 2)
		f.changeLeader()
		f.submitAs("new", false, 0)
		must.SliceEmpty(t, f.starts())
	})
}

// submitUncommitted submits a job whose announcement is not committed.
func (f *fixture) submitUncommitted(id string, age time.Duration) (started bool, proposed []Propose) {
	actions := f.d.Step(f.now, CallReceived{Stream: caller, Sequence: uint64(len(id)), Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/" + id, Age: age,
		Job: specifier.QueuedJob{Transient: true, Steps: []specifier.Step{{Count: 1, Resources: specifier.Resources{MilliCores: 100, Memory: 1}, Estimate: f.estimate}}}}})
	f.actions = actions
	return len(f.starts()) > 0, find[Propose](actions)
}

func TestAnnouncementsThatAreLate(t *testing.T) {
	t.Run("a job that has waited starts once it is announced", func(t *testing.T) {
		// Guards against a run that outlives the time after which the caller may send the job again.
		f := newAnnouncing(t, 1)
		started, proposed := f.submitUncommitted("old", 200*time.Millisecond)
		must.False(t, started)
		f.step(Applied(proposed[0]))
		must.SliceLen(t, 1, f.starts())
	})
	t.Run("nothing starts and no grant is given while the log is slow", func(t *testing.T) {
		f := newAnnouncing(t, 1)
		started, _ := f.submitUncommitted("a", 0)
		must.True(t, started)
		f.now = f.now.Add(f.d.Settings.announceWithin())
		started, _ = f.submitUncommitted("bb", 0)
		must.False(t, started)
		granted := f.d.agents[agentName(1)].grantUntil
		f.d.Step(f.now, ReportReceived{Stream: 1, Report: specifier.LeaseReport{Agent: agentName(1), Incarnation: 1, Renewal: 999}})
		must.Eq(t, granted, f.d.agents[agentName(1)].grantUntil)
	})
	t.Run("a log that stays slow ends the announcing, and starts go on", func(t *testing.T) {
		// Guards against a slow disk that stops jobs which need no disk.
		f := newAnnouncing(t, 1)
		f.submitUncommitted("a", 0)
		f.now = f.now.Add(f.d.Settings.announceWithin() + announceOffAfter)
		f.report(1, nil)
		must.False(t, f.d.Recorder.Announcing())
		started, _ := f.submitUncommitted("bb", 0)
		must.True(t, started)
	})
}

// Guards against an endless exchange with a log that rejects every proposal, as during a transfer of the leadership.
func TestRejectedAnnouncementsAreRepeatedLater(t *testing.T) {
	f := newAnnouncing(t, 1)
	_, proposed := f.submitUncommitted("a", 0)
	must.SliceEmpty(t, find[Propose](f.d.Step(f.now, Rejected{Command: proposed[0].Command})))
	f.now = f.now.Add(announceRetryInterval)
	must.SliceLen(t, 1, find[Propose](f.d.Expire(f.now)))
}

// Guards against a job that runs for longer than the log remembers its announcement, and is then taken for a new one.
func TestJobsThatLiveOnAreAnnouncedAgain(t *testing.T) {
	f := newAnnouncing(t, 1)
	f.estimate = 10 * time.Minute
	f.submitAs("long", false, 0)
	f.pass(1, 3*time.Minute)
	must.True(t, f.d.Recorder.Announced("long"))
}

// Guards against a leader whose settings do not let it announce jobs, after one that did.
func TestLeaderThatDoesNotAnnounce(t *testing.T) {
	f := newAnnouncing(t, 1)
	f.d.Settings.ResendAfter = 0
	f.changeLeader()
	must.False(t, f.d.Recorder.Announcing())
	f.submitAs("a", false, 0)
	must.SliceLen(t, 1, f.starts())
}
