package dispatcher

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
	"oleandertally/state/jobrecorder"
)

// submitRecorded submits a job of one task whose record takes about a kilobyte.
func (f *fixture) submitRecorded(id string) {
	f.step(submission(id))
}

func submission(id string) CallReceived {
	job := specifier.QueuedJob{Content: strings.Repeat("c", 1000), Steps: []specifier.Step{{Count: 1, Resources: taskResources, Estimate: time.Millisecond}}}
	return CallReceived{Stream: caller, Sequence: uint64(len(id)), Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/" + id, Job: job}}
}

// Guards against jobs that are recorded until the disks of all controllers are full of them, which no snapshot makes smaller.
func TestRecordsAreBounded(t *testing.T) {
	f := newFixture(t, 0)
	f.d.Settings.MaxRecorded = 10_000
	accepted := ""
	for f.submitRecorded("a"); find[Reply](f.actions)[0].Reply.Result == specifier.QueueOK; f.submitRecorded(accepted + "a") {
		accepted += "a"
		must.LessEq(t, f.d.Settings.MaxRecorded, f.d.Recorder.RecordedBytes())
		must.Less(t, 20, len(accepted))
	}
	must.Positive(t, f.mustReply(specifier.QueueRefused).RetryAfter)
	t.Run("a job that need not be recorded is still accepted", func(t *testing.T) {
		f.submit("transient", 1, true)
		must.SliceEmpty(t, find[Reply](f.actions))
	})
	t.Run("a job that is sent again is still known", func(t *testing.T) {
		f.submitRecorded("a")
		f.mustReply(specifier.QueueOK)
	})
	t.Run("room is free again when records have expired", func(t *testing.T) {
		f.cancel("a")
		f.now = f.now.Add(2 * f.d.Recorder.Retention)
		f.cancel("aa")
		f.submitRecorded(accepted + "a")
		f.mustReply(specifier.QueueOK)
	})
}

// Guards against a burst of jobs that are accepted together beyond the bound before the log has taken the first of them, and against room
// that stays taken by jobs that the log has rejected.
func TestRecordsThatAreProposedCount(t *testing.T) {
	f := newFixture(t, 0)
	f.d.Settings.MaxRecorded = 3 * jobrecorder.RecordSize(specifier.QueuedJob{Content: strings.Repeat("c", 1000)})
	var proposed []Propose
	for id := "a"; len(find[Reply](f.actions)) == 0 || len(proposed) == 0; id += "a" {
		f.actions = f.d.Step(f.now, submission(id))
		proposed = append(proposed, find[Propose](f.actions)...)
		must.Less(t, 10, len(proposed))
	}
	must.SliceLen(t, 2, proposed)
	f.mustReply(specifier.QueueRefused)
	for _, each := range proposed {
		f.d.Step(f.now, Rejected{Command: each.Command})
	}
	must.Zero(t, f.d.unrecordedBytes)
	f.submitRecorded("later")
	f.mustReply(specifier.QueueOK)
	must.Zero(t, f.d.unrecordedBytes)
}
