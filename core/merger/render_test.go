package merger

import (
	"bytes"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var (
	hold    = specifier.NewJobID("reservas", "hold-1")
	cutPlan = specifier.NewJobID("ventas", "cut-plan-7")

	entryA  = process("entry-a", 0xa)
	entryB  = process("entry-b", 0xb)
	workerA = process("worker-a", 0xc)
	workerB = process("worker-b", 0xd)
)

func assertGolden(t *testing.T, name string, write func(io.Writer) error) {
	t.Helper()
	var got bytes.Buffer
	must.NoError(t, write(&got))
	file := filepath.Join("testdata", name)
	if *update {
		must.NoError(t, os.WriteFile(file, got.Bytes(), 0o644))
	}
	want, err := os.ReadFile(file)
	must.NoError(t, err)
	must.Eq(t, string(want), got.String())
}

// skewedWorld returns a world in which all clocks differ.
func skewedWorld() *world {
	w := newWorld()
	w.skew = map[string]time.Duration{entryA: 0, entryB: -7 * time.Second, workerA: 3 * time.Second, workerB: -250 * time.Millisecond}
	return w
}

// submit records that a caller submits job to entry and that the entry proposes it.
func (w *world) submit(ms int, entry string, job specifier.JobID) {
	w.add(ms, entry, recorder.Event{Kind: recorder.JobSubmitted, Job: job})
	w.add(ms+1, entry, recorder.Event{Kind: recorder.JobProposed, Job: job})
}

// answer records that entry answers the caller of job.
func (w *world) answer(ms int, entry string, job specifier.JobID, epoch specifier.Epoch, answer specifier.Answer) {
	w.add(ms, entry, recorder.Event{Kind: recorder.JobAnswered, Job: job, Epoch: epoch, Detail: recorder.FormatAnswer(answer)})
}

// waited is a job of two tasks, of which one waits 740 ms in an agent's queue.
func waited() Timeline {
	w := skewedWorld()
	w.submit(0, entryA, cutPlan)
	base := recorder.Event{Job: cutPlan, Epoch: 1}
	w.add(6, entryA, withKind(base, recorder.JobAccepted))
	base.Task = "plan-1"
	w.run(8, entryA, workerA, base, 1, 1, 60, 1)
	base.Task = "plan-2"
	w.run(80, entryA, workerB, base, 1, 740, 80, 1)
	w.answer(903, entryA, cutPlan, 1, specifier.Answer{Outcome: specifier.Complete})
	return Merge(w.logs(2000, true))
}

// refused is a job that two agents refuse, so that it waits at its entry until its deadline passes.
func refused() Timeline {
	w := skewedWorld()
	w.submit(0, entryA, hold)
	w.add(6, entryA, recorder.Event{Kind: recorder.JobAccepted, Job: hold, Epoch: 1})
	for i, agent := range []string{workerA, workerB} {
		base := recorder.Event{Job: hold, Epoch: 1, Task: "seat-1"}
		w.send(40*i+300, entryA, agent, base)
		base.Other, base.Detail = entryA, "queue is full"
		replied := w.arrive(40*i+301, agent, withKind(base, recorder.TaskRefused))
		base.Other, base.Detail = agent, recorder.RefusedDetail(base.Detail)
		w.add(40*i+302, entryA, withKind(base, recorder.TaskReturned), replied)
	}
	w.answer(900, entryA, hold, 1, specifier.Refuse(specifier.DeadlinePast, "no slot before the deadline"))
	return Merge(w.logs(2000, true))
}

// tooLate is a job that is refused before it is proposed, because its deadline is too short.
func tooLate() Timeline {
	w := skewedWorld()
	w.add(0, entryA, recorder.Event{Kind: recorder.JobSubmitted, Job: hold})
	w.answer(1, entryA, hold, 0, specifier.Refuse(specifier.Overloaded, "needs 2.1s, has 900ms"))
	return Merge(w.logs(2000, true))
}

// takenOver is a job whose owner terminates, so that another entry takes it over. The logs have no request times:
// only messages bound the skews.
func takenOver() Timeline {
	w := skewedWorld()
	w.submit(0, entryA, cutPlan)
	base := recorder.Event{Job: cutPlan, Epoch: 1}
	w.add(6, entryA, withKind(base, recorder.JobAccepted))
	w.submit(500, entryB, cutPlan)
	base.Epoch, base.Other = 2, entryA
	taken := w.add(508, entryB, withKind(base, recorder.JobTaken))
	base.Other = ""
	w.add(510, workerA, withKind(base, recorder.JobFenced), taken)
	base.Task = "plan <1>"
	w.run(520, entryB, workerA, base, 1, 2, 50, 1)
	return Merge(w.logs(0, false))
}

// Guards against a rendering that changes unnoticed, and against a summary that names the wrong cause or process.
func TestRenderings(t *testing.T) {
	cases := []struct {
		name     string
		timeline Timeline
		job      specifier.JobID
	}{
		{"waited", waited(), cutPlan},
		{"refused", refused(), hold},
		{"toolate", tooLate(), hold},
		{"takenover", takenOver(), cutPlan},
		{"alljobs", waited(), specifier.JobID{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertGolden(t, c.name+".txt", func(w io.Writer) error { return WriteText(w, c.timeline, c.job) })
			assertGolden(t, c.name+".html", func(w io.Writer) error { return WriteHTML(w, c.timeline, c.job) })
		})
	}
}

// Guards against a page that loads external resources, or that contains unescaped markup from an event.
func TestPageIsSelfContained(t *testing.T) {
	var got bytes.Buffer
	must.NoError(t, WriteHTML(&got, takenOver(), cutPlan))
	for _, banned := range []string{"<script", "src=", "href=", "@import", "url(", "plan <1>"} {
		must.False(t, strings.Contains(got.String(), banned), must.Sprint(banned))
	}
}

func assertPhase(t *testing.T, summary Summary, name string, spent time.Duration, state PhaseState) {
	t.Helper()
	for _, phase := range summary.Phases {
		if phase.Name == name {
			must.Eq(t, state, phase.State, must.Sprint(name))
			must.Eq(t, spent, phase.Spent, must.Sprint(name))
			return
		}
	}
	t.Fatalf("no phase %q", name)
}

// Guards against time that is counted for the wrong phase.
func TestSummarize(t *testing.T) {
	t.Run("a cut plan that waited in a queue", func(t *testing.T) {
		summary := Summarize(waited(), cutPlan)
		must.Eq(t, "plan-2", summary.Task)
		must.Eq(t, QueueWait, summary.Longest().Name)
		assertPhase(t, summary, EntryWait, 75*time.Millisecond, Ended)
		assertPhase(t, summary, RecordWait, 5*time.Millisecond, Ended)
		assertPhase(t, summary, NetworkTime, 2*time.Millisecond, Ended)
		assertPhase(t, summary, QueueWait, 740*time.Millisecond, Ended)
		assertPhase(t, summary, RunTime, 80*time.Millisecond, Ended)
		must.Nil(t, summary.Refused())
	})
	t.Run("a hold that was refused", func(t *testing.T) {
		summary := Summarize(refused(), hold)
		must.NotNil(t, summary.Refused())
		must.Eq(t, specifier.DeadlinePast, recorder.ParseAnswer(summary.Refused().Detail).Reason)
		must.Eq(t, []Refusal{{Cause: "queue is full", Tasks: 2}}, summary.Refusals)
		assertPhase(t, summary, EntryWait, 895*time.Millisecond, Cut)
		assertPhase(t, summary, RunTime, 0, Skipped)
	})
	t.Run("a hold that an agent refused without a record", func(t *testing.T) {
		w := skewedWorld()
		w.submit(0, entryA, hold)
		base := recorder.Event{Job: hold, Epoch: 1, Task: "seat-1"}
		w.add(6, entryA, withKind(recorder.Event{Job: hold, Epoch: 1}, recorder.JobAccepted))
		w.send(7, entryA, workerA, base)
		base.Other, base.Detail = workerA, recorder.RefusedDetail("NoLease")
		w.add(9, entryA, withKind(base, recorder.TaskReturned))
		w.answer(900, entryA, hold, 1, specifier.Refuse(specifier.DeadlinePast, ""))
		summary := Summarize(Merge(w.logs(2000, true)), hold)
		must.Eq(t, []Refusal{{Cause: "NoLease", Tasks: 1}}, summary.Refusals)
		assertPhase(t, summary, EntryWait, 895*time.Millisecond, Cut)
		assertPhase(t, summary, AnswerTime, 0, Skipped)
	})
	t.Run("a job that is still running", func(t *testing.T) {
		summary := Summarize(takenOver(), cutPlan)
		must.False(t, summary.Answered)
		must.Eq(t, entryB, summary.Owner)
		assertPhase(t, summary, AnswerTime, 0, Open)
	})
	t.Run("an unknown job", func(t *testing.T) {
		must.Len(t, 1, Summarize(waited(), hold).Lines())
	})
}
