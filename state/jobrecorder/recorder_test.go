package jobrecorder

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

const retention = time.Minute

// lastRun is the number of the last run that recordEnd used. Each call uses a new number.
var lastRun uint64

// newRecorder returns a recorder with one queue and one accepted job of three tasks.
func newRecorder() *Recorder {
	recorder := New(retention)
	recorder.Apply(specifier.QueueCommand{Manifest: &specifier.Manifest{Version: 5, Document: []byte("five"), Queues: []specifier.Queue{{Name: "q", MaxAttempts: 2}}}})
	recorder.Apply(specifier.QueueCommand{Accept: job("a")})
	return recorder
}

func job(id string) *specifier.QueuedJob {
	return &specifier.QueuedJob{ID: id, Queue: "q", Content: "c", Steps: []specifier.Step{{Count: 2}, {Count: 1, After: []int{0}}}}
}

func recordEnd(recorder *Recorder, step, index int, kind specifier.EndKind) {
	lastRun++
	recordRunEnd(recorder, step, index, lastRun, kind)
}

func recordRunEnd(recorder *Recorder, step, index int, run uint64, kind specifier.EndKind) {
	recorder.Apply(specifier.QueueCommand{Ends: []specifier.TaskEnd{{Job: "a", Step: step, Index: index, Run: run, Kind: kind}}})
}

// reload returns the recorder that a controller reads from a snapshot.
func reload(t *testing.T, r *Recorder) *Recorder {
	t.Helper()
	var data bytes.Buffer
	must.NoError(t, Write(&data, r.Image()))
	restored, err := Read(bufio.NewReader(&data), retention)
	must.NoError(t, err)
	return restored
}

func assertState(t *testing.T, recorder *Recorder, want specifier.QueueState) {
	t.Helper()
	must.NotNil(t, recorder.Job("a"))
	must.Eq(t, want, recorder.Job("a").State)
}

func TestJobs(t *testing.T) {
	t.Run("complete only with every task", func(t *testing.T) { // guards against a job that completes before all its tasks are done
		recorder := newRecorder()
		assertState(t, recorder, specifier.JobQueued)
		recordEnd(recorder, 0, 0, specifier.EndDone)
		recordEnd(recorder, 0, 0, specifier.EndDone)
		recordEnd(recorder, 1, 0, specifier.EndDone)
		assertState(t, recorder, specifier.JobRunning)
		recordEnd(recorder, 0, 1, specifier.EndDone)
		assertState(t, recorder, specifier.JobCompleted)
	})
	t.Run("failed after the attempts of its queue", func(t *testing.T) { // guards against unlimited attempts
		recorder := newRecorder()
		recordEnd(recorder, 0, 0, specifier.EndFailed)
		recordEnd(recorder, 0, 1, specifier.EndFailed)
		assertState(t, recorder, specifier.JobRunning)
		recordEnd(recorder, 0, 0, specifier.EndFailed)
		assertState(t, recorder, specifier.JobFailed)
	})
	t.Run("one failure of a run", func(t *testing.T) { // guards against a failure that counts twice because two leaders record it
		recorder := newRecorder()
		recordRunEnd(recorder, 0, 0, 7, specifier.EndFailed)
		recordRunEnd(recorder, 0, 0, 7, specifier.EndFailed)
		assertState(t, recorder, specifier.JobRunning)
		must.Eq(t, 1, recorder.Job("a").Failures(0, 0))
		recordRunEnd(recorder, 0, 0, 8, specifier.EndFailed)
		assertState(t, recorder, specifier.JobFailed)
	})
	t.Run("a cancellation is final", func(t *testing.T) { // guards against a cancelled job that completes
		recorder := newRecorder()
		recorder.Apply(specifier.QueueCommand{Cancel: "a"})
		recordEnd(recorder, 0, 0, specifier.EndDone)
		assertState(t, recorder, specifier.JobCancelled)
	})
	t.Run("a second acceptance changes nothing", func(t *testing.T) { // guards against a resubmission that restarts the job
		recorder := newRecorder()
		recordEnd(recorder, 0, 0, specifier.EndDone)
		recorder.Apply(specifier.QueueCommand{Accept: job("a")})
		assertState(t, recorder, specifier.JobRunning)
	})
	t.Run("ends of unknown tasks", func(t *testing.T) { // guards against an index out of range, which would crash every replica
		recorder := newRecorder()
		recordEnd(recorder, 7, 0, specifier.EndDone)
		recordEnd(recorder, 0, -1, specifier.EndDone)
		assertState(t, recorder, specifier.JobQueued)
	})
	t.Run("expired after the retention", func(t *testing.T) { // guards against a state that grows without bound
		recorder := newRecorder()
		recorder.Apply(specifier.QueueCommand{Cancel: "a"})
		recorder.Apply(specifier.QueueCommand{Advance: retention, Enroll: "x"})
		assertState(t, recorder, specifier.JobCancelled)
		recorder.Apply(specifier.QueueCommand{Advance: time.Second, Enroll: "x"})
		must.Nil(t, recorder.Job("a"))
	})
}

// Guards against a manifest of an older or equal version that replaces the current one.
func TestHighestManifestStays(t *testing.T) {
	recorder := newRecorder()
	for _, version := range []uint64{4, 5} {
		recorder.Apply(specifier.QueueCommand{Manifest: &specifier.Manifest{Version: version, Document: []byte("other")}})
		must.Eq(t, "five", string(recorder.Manifest().Document))
	}
}

// Guards against a snapshot that loses a part of the state, and against a damaged snapshot that is accepted.
func TestImage(t *testing.T) {
	recorder := newRecorder()
	recordEnd(recorder, 0, 1, specifier.EndFailed)
	recordEnd(recorder, 0, 0, specifier.EndDone)
	recorder.Apply(specifier.QueueCommand{Accept: job("b")})
	recorder.Apply(specifier.QueueCommand{Cancel: "b"})
	recorder.Apply(specifier.QueueCommand{Enroll: "agent-1"})
	var first, second bytes.Buffer
	must.NoError(t, Write(&first, recorder.Image()))
	content := bytes.Clone(first.Bytes())
	loaded, err := Read(&first, retention)
	must.NoError(t, err)
	must.NoError(t, Write(&second, loaded.Image()))
	must.Eq(t, content, second.Bytes())
	recordEnd(loaded, 0, 1, specifier.EndFailed)
	assertState(t, loaded, specifier.JobFailed)
	t.Run("damaged", func(t *testing.T) {
		_, err := Read(bytes.NewReader(content[:len(content)/2]), retention)
		must.True(t, errors.Is(err, ErrImage))
	})
}

// Guards against a new leader that takes a job for new which an earlier leader may have started, because the announcement is lost with a
// snapshot or forgotten too early.
func TestAnnouncements(t *testing.T) {
	r := New(time.Minute)
	must.False(t, r.Announcing())
	r.Apply(specifier.QueueCommand{Announcing: specifier.AnnouncingOn, Announced: []string{"a", "b"}})
	var data bytes.Buffer
	must.NoError(t, Write(&data, r.Image()))
	restored, err := Read(bufio.NewReader(&data), time.Minute)
	must.NoError(t, err)
	for _, each := range []*Recorder{r, restored} {
		must.True(t, each.Announcing())
		must.True(t, each.Announced("a") && each.Announced("b"))
		must.False(t, each.Announced("c"))
		each.Apply(specifier.QueueCommand{Advance: announcedFor})
		must.True(t, each.Announced("a"))
		each.Apply(specifier.QueueCommand{Announced: []string{"b"}})
		each.Apply(specifier.QueueCommand{Advance: time.Second, Announced: []string{"c"}})
		must.False(t, each.Announced("a"))
		must.True(t, each.Announced("b"))
		must.True(t, each.Announced("c"))
		each.Apply(specifier.QueueCommand{Announcing: specifier.AnnouncingOff})
		must.False(t, each.Announcing())
	}
}

// Guards against a job that fails after one of its attempts, or loses its terms with a snapshot, because the manifest no longer defines
// its queue.
func TestTermsOfARemovedQueue(t *testing.T) {
	removeQueue := func(recorder *Recorder) {
		recorder.Apply(specifier.QueueCommand{Manifest: &specifier.Manifest{Version: 6}})
	}
	t.Run("recorded by the version before", func(t *testing.T) {
		recorder := newRecorder()
		removeQueue(recorder)
		recordEnd(recorder, 0, 0, specifier.EndFailed)
		assertState(t, recorder, specifier.JobRunning)
	})
	t.Run("after a snapshot", func(t *testing.T) {
		recorder := newRecorder()
		removeQueue(recorder)
		restored := reload(t, recorder)
		must.Eq(t, 2, restored.QueueOf(restored.Job("a")).MaxAttempts)
	})
	t.Run("defined again", func(t *testing.T) {
		recorder := newRecorder()
		removeQueue(recorder)
		recorder.Apply(specifier.QueueCommand{Manifest: &specifier.Manifest{Version: 7, Queues: []specifier.Queue{{Name: "q", MaxAttempts: 3}}}})
		must.Eq(t, 3, recorder.QueueOf(recorder.Job("a")).MaxAttempts)
	})
}

// Guards against an evacuation that is lost with a snapshot, and against a version that stays equal while the set of zones changes or
// rises without a change.
func TestEvacuations(t *testing.T) {
	mustHave := func(t *testing.T, r *Recorder, version uint64, zones ...string) {
		t.Helper()
		must.Eq(t, version, r.EvacuationVersion())
		must.Eq(t, zones, r.EvacuatedZones())
		for _, zone := range zones {
			must.True(t, r.Evacuated(zone))
		}
		must.False(t, r.Evacuated("other"))
	}
	r := New(retention)
	mustHave(t, r, 0)
	t.Run("none in a state without the fields", func(t *testing.T) { // guards against an old snapshot that can't be read
		mustHave(t, reload(t, newRecorder()), 0)
	})
	for _, step := range []struct {
		command specifier.QueueCommand
		version uint64
		zones   []string
	}{
		{specifier.QueueCommand{Evacuate: "b"}, 1, []string{"b"}},
		{specifier.QueueCommand{Evacuate: "a"}, 2, []string{"a", "b"}},
		{specifier.QueueCommand{Evacuate: "b"}, 2, []string{"a", "b"}},
		{specifier.QueueCommand{Restore: "other"}, 2, []string{"a", "b"}},
		{specifier.QueueCommand{Restore: "b"}, 3, []string{"a"}},
		{specifier.QueueCommand{Restore: "a"}, 4, nil},
	} {
		r.Apply(step.command)
		mustHave(t, r, step.version, step.zones...)
		r = reload(t, r)
		mustHave(t, r, step.version, step.zones...)
	}
}
