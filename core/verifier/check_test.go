package verifier

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

var (
	start = time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)
	jobID = specifier.NewJobID("reservas", "hold-1")
)

const (
	entryA  = "entry-a/0000000000000001"
	entryB  = "entry-b/0000000000000002"
	workerA = "worker-a/0000000000000003"
	workerB = "worker-b/0000000000000004"
)

// script builds events. Times are in milliseconds after start; sequence numbers count per process.
type script struct {
	events    []recorder.Event
	sequences map[string]uint64
}

func (s *script) add(ms int, process string, kind recorder.Kind, epoch specifier.Epoch, task, other, detail string) *script {
	if s.sequences == nil {
		s.sequences = make(map[string]uint64)
	}
	s.sequences[process]++
	event := recorder.Event{At: start.Add(time.Duration(ms) * time.Millisecond), Process: process,
		Sequence: s.sequences[process], Kind: kind, Epoch: epoch, Task: task, Other: other, Detail: detail}
	if !slices.Contains([]recorder.Kind{recorder.MemberDown, recorder.MemberDraining, recorder.MemberResumed}, kind) {
		event.Job = jobID
	}
	s.events = append(s.events, event)
	return s
}

// accepted adds a submission at entryA that is accepted under epoch.
func (s *script) accepted(ms int, epoch specifier.Epoch) *script {
	return s.add(ms, entryA, recorder.JobSubmitted, 0, "", "", "").
		add(ms+1, entryA, recorder.JobProposed, 0, "", "", "").
		add(ms+5, entryA, recorder.JobAccepted, epoch, "", "", "")
}

// run adds one task that worker queues, starts and ends.
func (s *script) run(ms int, worker string, epoch specifier.Epoch, task string) *script {
	return s.begin(ms, worker, epoch, task).
		add(ms+50, worker, recorder.TaskEnded, epoch, task, "", "").
		add(ms+51, entryA, recorder.TaskReturned, epoch, task, worker, "")
}

func (s *script) begin(ms int, worker string, epoch specifier.Epoch, task string) *script {
	return s.add(ms, entryA, recorder.TaskAssigned, epoch, task, worker, "").
		add(ms+1, worker, recorder.TaskQueued, epoch, task, entryA, "").
		add(ms+2, worker, recorder.TaskStarted, epoch, task, "", "")
}

func (s *script) answer(ms int, entry string, epoch specifier.Epoch, detail string) *script {
	return s.add(ms, entry, recorder.JobAnswered, epoch, "", "", detail)
}

func assertRules(t *testing.T, s *script, facts Facts, rules ...Rule) {
	t.Helper()
	var got []Rule
	for _, v := range Check(s.events, facts) {
		got = append(got, v.Rule)
	}
	must.Eq(t, rules, got)
	reversed := slices.Clone(s.events)
	slices.Reverse(reversed)
	must.Eq(t, Check(s.events, facts), Check(reversed, facts), must.Sprint("the order of the input must not matter"))
}

func repeatable(specifier.JobID) bool { return true }

// Guards against false violations on correct runs.
func TestCheckAcceptsCorrectRuns(t *testing.T) {
	t.Run("complete", func(t *testing.T) {
		s := new(script).accepted(0, 1).run(10, workerA, 1, "a").run(12, workerB, 1, "b").answer(90, entryA, 1, "Complete")
		assertRules(t, s, Facts{Tasks: func(specifier.JobID) int { return 2 }})
	})
	t.Run("refused, then resubmitted at the same entry", func(t *testing.T) {
		s := new(script).add(0, entryA, recorder.JobSubmitted, 0, "", "", "").answer(1, entryA, 0, "NotRun Overloaded").
			accepted(10, 1).run(20, workerA, 1, "a").answer(90, entryA, 1, "Complete")
		assertRules(t, s, Facts{})
	})
	t.Run("released, then run under a higher epoch", func(t *testing.T) {
		s := new(script).accepted(0, 1).answer(9, entryA, 1, "NotRun DeadlinePast").
			accepted(10, 2).run(20, workerA, 2, "a").answer(90, entryA, 2, "Complete")
		assertRules(t, s, Facts{})
	})
	t.Run("a refusal that an attached caller gets after the key was submitted again", func(t *testing.T) {
		s := new(script).accepted(0, 1).add(6, entryB, recorder.JobSubmitted, 0, "", "", "").
			add(7, entryB, recorder.JobAttached, 0, "", entryA, "").answer(9, entryA, 1, "NotRun DeadlinePast").
			accepted(10, 2).run(20, workerA, 2, "a").answer(15, entryB, 0, "NotRun DeadlinePast").answer(90, entryA, 2, "Complete")
		assertRules(t, s, Facts{})
	})
	t.Run("an entry that is too busy to look the key up", func(t *testing.T) {
		s := new(script).accepted(0, 1).run(10, workerA, 1, "a").answer(90, entryA, 1, "Complete").
			add(91, entryB, recorder.JobSubmitted, 0, "", "", "").answer(92, entryB, 0, "Failed Overloaded")
		assertRules(t, s, Facts{})
	})
	t.Run("a reused key is refused while the job runs", func(t *testing.T) {
		s := new(script).accepted(0, 1).add(5, entryB, recorder.JobSubmitted, 0, "", "", "").
			answer(6, entryB, 0, "NotRun KeyReused: other body").run(10, workerA, 1, "a").answer(90, entryA, 1, "Complete")
		assertRules(t, s, Facts{})
	})
	t.Run("a superseded owner and the new owner", func(t *testing.T) {
		s := new(script).accepted(0, 1).run(10, workerA, 1, "a").answer(80, entryA, 1, "Failed Superseded").
			add(70, entryB, recorder.JobSubmitted, 0, "", "", "").answer(90, entryB, 2, "Complete")
		assertRules(t, s, Facts{})
	})
	t.Run("a repeat after a recorded loss", func(t *testing.T) {
		s := new(script).accepted(0, 1).begin(10, workerA, 1, "a").
			add(30, entryA, recorder.MemberDown, 0, "", workerA, "").run(40, workerB, 1, "a").answer(99, entryA, 1, "Complete")
		assertRules(t, s, Facts{Repeatable: repeatable})
	})
}

// Guards against a task that runs twice without a violation.
func TestStartOnce(t *testing.T) {
	twice := func() *script { return new(script).accepted(0, 1).run(10, workerA, 1, "a").run(20, workerB, 1, "a") }
	lost := new(script).accepted(0, 1).begin(10, workerA, 1, "a").
		add(30, entryA, recorder.MemberDown, 0, "", workerA, "").run(40, workerB, 1, "a")
	t.Run("two agents", func(t *testing.T) { assertRules(t, twice(), Facts{}, StartOnce) })
	t.Run("repeatable without a loss", func(t *testing.T) {
		assertRules(t, twice(), Facts{Repeatable: repeatable}, StartOnce)
	})
	t.Run("lost but not repeatable", func(t *testing.T) { assertRules(t, lost, Facts{}, StartOnce) })
	t.Run("the loss is recorded after the repeat was sent", func(t *testing.T) {
		late := twice().add(80, entryA, recorder.MemberDown, 0, "", workerA, "")
		assertRules(t, late, Facts{Repeatable: repeatable}, StartOnce)
	})
	t.Run("another run of the same name was lost", func(t *testing.T) {
		other := new(script).accepted(0, 1).begin(10, workerA, 1, "a").
			add(30, entryA, recorder.MemberDown, 0, "", "worker-a/00000000000000ff", "").run(40, workerB, 1, "a")
		assertRules(t, other, Facts{Repeatable: repeatable}, StartOnce)
	})
	t.Run("one run of an agent that was declared down and started again", func(t *testing.T) {
		s := new(script).accepted(0, 1).begin(10, workerA, 1, "a").
			add(30, entryA, recorder.MemberDown, 0, "", workerA, "").run(80, workerA, 1, "a")
		assertRules(t, s, Facts{Repeatable: repeatable}, StartOnce)
	})
	t.Run("only an assignment of another epoch came after the loss", func(t *testing.T) {
		s := twice().add(80, entryA, recorder.MemberDown, 0, "", workerA, "").
			add(81, entryA, recorder.TaskAssigned, 2, "a", workerB, "")
		assertRules(t, s, Facts{Repeatable: repeatable}, StartOnce)
	})
}

// Guards against a NotRun answer for a job of which a task started.
func TestNotRunIsTrue(t *testing.T) {
	t.Run("started before", func(t *testing.T) {
		s := new(script).accepted(0, 1).run(10, workerA, 1, "a").answer(90, entryA, 1, "NotRun DeadlinePast")
		assertRules(t, s, Facts{}, NotRunIsTrue)
	})
	t.Run("started after", func(t *testing.T) {
		s := new(script).accepted(0, 1).answer(8, entryA, 1, "NotRun Cancelled").run(10, workerA, 1, "a")
		assertRules(t, s, Facts{}, NotRunIsTrue)
	})
	t.Run("refused early at another entry while the job runs", func(t *testing.T) {
		s := new(script).accepted(0, 1).run(10, workerA, 1, "a").answer(90, entryA, 1, "Complete").
			add(30, entryB, recorder.JobSubmitted, 0, "", "", "").answer(31, entryB, 0, "NotRun Overloaded")
		assertRules(t, s, Facts{}, NotRunIsTrue)
	})
	t.Run("submitted again only after the acceptance", func(t *testing.T) {
		s := new(script).add(0, entryA, recorder.JobSubmitted, 0, "", "", "").answer(1, entryA, 0, "NotRun Unavailable").
			add(5, entryA, recorder.JobAccepted, 1, "", "", "").run(10, workerA, 1, "a").
			add(70, entryA, recorder.JobSubmitted, 0, "", "", "")
		assertRules(t, s, Facts{}, NotRunIsTrue)
	})
	t.Run("another epoch was submitted after the refusal", func(t *testing.T) {
		s := new(script).accepted(0, 1).run(10, workerA, 1, "a").add(70, entryB, recorder.JobSubmitted, 0, "", "", "").
			answer(71, entryB, 0, "NotRun Overloaded").accepted(80, 2)
		assertRules(t, s, Facts{}, NotRunIsTrue)
	})
	t.Run("refused before it was attached", func(t *testing.T) {
		s := new(script).accepted(0, 1).answer(9, entryA, 1, "NotRun DeadlinePast").accepted(10, 2).
			add(11, entryB, recorder.JobSubmitted, 0, "", "", "").answer(12, entryB, 0, "NotRun DeadlinePast").
			add(13, entryB, recorder.JobSubmitted, 0, "", "", "").add(14, entryB, recorder.JobAttached, 0, "", entryA, "").
			run(20, workerA, 2, "a")
		assertRules(t, s, Facts{}, NotRunIsTrue)
	})
	t.Run("an attached caller is refused while the owner runs the job", func(t *testing.T) {
		s := new(script).accepted(0, 1).run(10, workerA, 1, "a").add(20, entryB, recorder.JobSubmitted, 0, "", "", "").
			add(21, entryB, recorder.JobAttached, 0, "", entryA, "").answer(30, entryB, 0, "NotRun DeadlinePast")
		assertRules(t, s, Facts{}, NotRunIsTrue)
	})
	t.Run("refused at the entry that then accepts the same submission", func(t *testing.T) {
		s := new(script).add(0, entryA, recorder.JobSubmitted, 0, "", "", "").answer(1, entryA, 0, "NotRun Unavailable").
			add(5, entryA, recorder.JobAccepted, 1, "", "", "").run(10, workerA, 1, "a")
		assertRules(t, s, Facts{}, NotRunIsTrue)
	})
}

// Guards against a Complete answer without the results of all tasks.
func TestCompleteIsWhole(t *testing.T) {
	t.Run("a started task has not ended", func(t *testing.T) {
		s := new(script).accepted(0, 1).run(10, workerA, 1, "a").begin(12, workerB, 1, "b").answer(90, entryA, 1, "Complete")
		assertRules(t, s, Facts{}, CompleteIsWhole)
	})
	t.Run("a task was never sent", func(t *testing.T) {
		s := new(script).accepted(0, 1).run(10, workerA, 1, "a").answer(90, entryA, 1, "Complete")
		assertRules(t, s, Facts{Tasks: func(specifier.JobID) int { return 2 }}, CompleteIsWhole)
	})
	t.Run("nothing ran", func(t *testing.T) {
		assertRules(t, new(script).accepted(0, 1).answer(9, entryA, 1, "Complete"), Facts{}, CompleteIsWhole)
	})
}

// Guards against two answers to one request and an answer to no request.
func TestOneAnswer(t *testing.T) {
	run := func() *script { return new(script).accepted(0, 1).run(10, workerA, 1, "a") }
	t.Run("twice", func(t *testing.T) {
		assertRules(t, run().answer(90, entryA, 1, "Complete").answer(91, entryA, 1, "Complete"), Facts{}, OneAnswer)
	})
	t.Run("at an entry that was not asked", func(t *testing.T) {
		assertRules(t, run().answer(90, entryB, 1, "Complete"), Facts{}, OneAnswer)
	})
	t.Run("an attached caller gets its own", func(t *testing.T) {
		s := run().add(70, entryA, recorder.JobAttached, 1, "", "", "")
		assertRules(t, s.answer(90, entryA, 1, "Complete").answer(91, entryA, 1, "Complete"), Facts{})
	})
	t.Run("a caller attached to another entry's job gets one", func(t *testing.T) {
		s := run().add(70, entryB, recorder.JobSubmitted, 0, "", "", "").add(71, entryB, recorder.JobAttached, 1, "", entryA, "")
		assertRules(t, s.answer(90, entryB, 1, "Complete").answer(91, entryB, 1, "Complete"), Facts{}, OneAnswer)
	})
}

// Guards against different outcomes for the callers of one job.
func TestNoContradiction(t *testing.T) {
	both := func(first, second string) *script {
		return new(script).accepted(0, 1).run(10, workerA, 1, "a").add(20, entryB, recorder.JobSubmitted, 0, "", "", "").
			answer(90, entryA, 1, first).answer(91, entryB, 1, second)
	}
	t.Run("complete and failed", func(t *testing.T) {
		assertRules(t, both("Complete", "Failed TimedOut"), Facts{}, NoContradiction)
	})
	t.Run("two reasons", func(t *testing.T) {
		assertRules(t, both("Failed WorkerLost", "Failed TimedOut"), Facts{}, NoContradiction)
	})
	t.Run("complete and not run", func(t *testing.T) {
		assertRules(t, both("Complete", "NotRun Cancelled"), Facts{}, NotRunIsTrue, NoContradiction)
	})
	t.Run("the same", func(t *testing.T) { assertRules(t, both("Complete", "Complete"), Facts{}) })
}

// Guards against an agent that starts tasks of a replaced owner.
func TestFenceHolds(t *testing.T) {
	t.Run("started after the fence", func(t *testing.T) {
		s := new(script).accepted(0, 1).add(9, workerA, recorder.JobFenced, 2, "", "", "").run(10, workerA, 1, "a")
		assertRules(t, s, Facts{}, FenceHolds)
	})
	t.Run("an older fence arrives late", func(t *testing.T) {
		s := new(script).accepted(0, 1).add(8, workerA, recorder.JobFenced, 3, "", "", "").
			add(9, workerA, recorder.JobFenced, 1, "", "", "").run(10, workerA, 2, "a")
		assertRules(t, s, Facts{}, FenceHolds)
	})
	t.Run("started before the fence or at its epoch", func(t *testing.T) {
		s := new(script).accepted(0, 1).run(10, workerA, 1, "a").add(70, workerA, recorder.JobFenced, 2, "", "", "").
			run(80, workerA, 2, "b")
		assertRules(t, s, Facts{})
	})
}

// Guards against new tasks at an upstream that is draining.
func TestDrainHolds(t *testing.T) {
	drained := func() *script {
		return new(script).add(0, workerA, recorder.MemberDraining, 0, "", "", "").accepted(0, 1)
	}
	facts := Facts{DrainGracePeriod: 3 * time.Second}
	t.Run("after the bound", func(t *testing.T) {
		assertRules(t, drained().run(3000, workerA, 1, "a"), facts, DrainHolds)
	})
	t.Run("a second drain event does not extend the bound", func(t *testing.T) {
		s := drained().add(2000, workerA, recorder.MemberDraining, 0, "", "", "").run(4000, workerA, 1, "a")
		assertRules(t, s, facts, DrainHolds)
	})
	t.Run("within the bound", func(t *testing.T) { assertRules(t, drained().run(2990, workerA, 1, "a"), facts) })
	t.Run("resumed", func(t *testing.T) {
		s := drained().add(10, workerA, recorder.MemberResumed, 0, "", "", "").run(9000, workerA, 1, "a")
		assertRules(t, s, facts)
	})
}
