package jobrecorder

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

const retention = time.Minute

// runs numbers the runs of end, which never repeats one.
var runs uint64

// newRecorder returns a state with one queue and one accepted job of three tasks.
func newRecorder() *Recorder {
	k := New(retention)
	k.Apply(specifier.QueueCommand{Manifest: &specifier.Manifest{Version: 5, Document: []byte("five"), Queues: []specifier.Queue{{Name: "q", MaxAttempts: 2}}}})
	k.Apply(specifier.QueueCommand{Accept: job("a")})
	return k
}

func job(id string) *specifier.QueuedJob {
	return &specifier.QueuedJob{ID: id, Queue: "q", Content: "c", Steps: []specifier.Step{{Count: 2}, {Count: 1, After: []int{0}}}}
}

func end(k *Recorder, step, index int, how specifier.EndKind) {
	runs++
	endOf(k, step, index, runs, how)
}

func endOf(k *Recorder, step, index int, run uint64, how specifier.EndKind) {
	k.Apply(specifier.QueueCommand{Ends: []specifier.TaskEnd{{Job: "a", Step: step, Index: index, Run: run, How: how}}})
}

func mustState(t *testing.T, k *Recorder, want specifier.QueueState) {
	t.Helper()
	must.NotNil(t, k.Job("a"))
	must.Eq(t, want, k.Job("a").State)
}

func TestJobs(t *testing.T) {
	t.Run("complete only with every task", func(t *testing.T) { // guards against a partial answer
		k := newRecorder()
		mustState(t, k, specifier.JobQueued)
		end(k, 0, 0, specifier.EndDone)
		end(k, 0, 0, specifier.EndDone)
		end(k, 1, 0, specifier.EndDone)
		mustState(t, k, specifier.JobRunning)
		end(k, 0, 1, specifier.EndDone)
		mustState(t, k, specifier.JobCompleted)
	})
	t.Run("failed after the attempts of its queue", func(t *testing.T) { // guards against attempts without end
		k := newRecorder()
		end(k, 0, 0, specifier.EndFailed)
		end(k, 0, 1, specifier.EndFailed)
		mustState(t, k, specifier.JobRunning)
		end(k, 0, 0, specifier.EndFailed)
		mustState(t, k, specifier.JobFailed)
	})
	t.Run("one failure of a run", func(t *testing.T) { // guards against an attempt that two leaders record and that counts twice
		k := newRecorder()
		endOf(k, 0, 0, 7, specifier.EndFailed)
		endOf(k, 0, 0, 7, specifier.EndFailed)
		mustState(t, k, specifier.JobRunning)
		must.Eq(t, 1, k.Job("a").Failures(0, 0))
		endOf(k, 0, 0, 8, specifier.EndFailed)
		mustState(t, k, specifier.JobFailed)
	})
	t.Run("a cancellation is final", func(t *testing.T) { // guards against a cancelled job that completes
		k := newRecorder()
		k.Apply(specifier.QueueCommand{Cancel: "a"})
		end(k, 0, 0, specifier.EndDone)
		mustState(t, k, specifier.JobCancelled)
	})
	t.Run("a second acceptance changes nothing", func(t *testing.T) { // guards against a resubmission that starts over
		k := newRecorder()
		end(k, 0, 0, specifier.EndDone)
		k.Apply(specifier.QueueCommand{Accept: job("a")})
		mustState(t, k, specifier.JobRunning)
	})
	t.Run("ends of unknown tasks", func(t *testing.T) { // guards against a crash of every replica
		k := newRecorder()
		end(k, 7, 0, specifier.EndDone)
		end(k, 0, -1, specifier.EndDone)
		mustState(t, k, specifier.JobQueued)
	})
	t.Run("forgotten after the retention", func(t *testing.T) { // guards against a state that grows without bound
		k := newRecorder()
		k.Apply(specifier.QueueCommand{Cancel: "a"})
		k.Apply(specifier.QueueCommand{Advance: retention, Enroll: "x"})
		mustState(t, k, specifier.JobCancelled)
		k.Apply(specifier.QueueCommand{Advance: time.Second, Enroll: "x"})
		must.Nil(t, k.Job("a"))
	})
}

// Guards against an older manifest that replaces a newer one.
func TestHighestManifestStays(t *testing.T) {
	k := newRecorder()
	for _, version := range []uint64{4, 5} {
		k.Apply(specifier.QueueCommand{Manifest: &specifier.Manifest{Version: version, Document: []byte("other")}})
		must.Eq(t, "five", string(k.Manifest().Document))
	}
}

// Guards against a snapshot that loses a part of the state.
func TestImage(t *testing.T) {
	k := newRecorder()
	end(k, 0, 1, specifier.EndFailed)
	end(k, 0, 0, specifier.EndDone)
	k.Apply(specifier.QueueCommand{Accept: job("b")})
	k.Apply(specifier.QueueCommand{Cancel: "b"})
	k.Apply(specifier.QueueCommand{Enroll: "agent-1"})
	var first, second bytes.Buffer
	must.NoError(t, Write(&first, k.Image()))
	content := bytes.Clone(first.Bytes())
	loaded, err := Read(&first, retention)
	must.NoError(t, err)
	must.NoError(t, Write(&second, loaded.Image()))
	must.Eq(t, content, second.Bytes())
	end(loaded, 0, 1, specifier.EndFailed)
	mustState(t, loaded, specifier.JobFailed)
	t.Run("damaged", func(t *testing.T) {
		_, err := Read(bytes.NewReader(content[:len(content)/2]), retention)
		must.True(t, errors.Is(err, ErrImage))
	})
}
