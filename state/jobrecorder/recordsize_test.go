package jobrecorder

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"oleandertally/core/specifier"
)

// assertSizeCovers fails the test unless RecordedBytes covers what the records take in a snapshot, and does not exceed it by more than the
// overheads.
func assertSizeCovers(t *testing.T, recorder *Recorder) {
	t.Helper()
	actual := 0
	for _, record := range recorder.Image().Jobs {
		actual += proto.Size(record)
	}
	must.LessEq(t, recorder.RecordedBytes(), actual)
	must.LessEq(t, 4*actual+2*recordOverhead, recorder.RecordedBytes())
}

func largeJob(id string) *specifier.QueuedJob {
	job := &specifier.QueuedJob{ID: id, Queue: strings.Repeat("q", 40), Content: strings.Repeat("c", 4000),
		Terms: specifier.Queue{Name: "q", Host: strings.Repeat("h", 50), Prefix: "/prefix/", Pool: "pool", MaxAttempts: 4, Stretch: 1.6, Target: 60_000_000}}
	for step := range 20 {
		job.Steps = append(job.Steps, specifier.Step{Count: 12, Resources: specifier.Resources{MilliCores: 1 << 30, Memory: 1 << 30, Accelerators: 8},
			Estimate: specifier.MaxAdvance, Label: strings.Repeat("l", 30), DataRack: "r1-3", PerWorker: 2})
		for before := range step {
			job.Steps[step].After = append(job.Steps[step].After, before)
		}
	}
	return job
}

// Guards against records that take more room in a snapshot than is accounted for, and against room that is not given back.
func TestRecordedBytes(t *testing.T) {
	recorder := newRecorder()
	assertSizeCovers(t, recorder)
	for _, id := range []string{"large", "larger", "largest"} {
		recorder.Apply(specifier.QueueCommand{Accept: largeJob(id)})
		assertSizeCovers(t, recorder)
	}
	t.Run("accepted twice", func(t *testing.T) {
		before := recorder.RecordedBytes()
		recorder.Apply(specifier.QueueCommand{Accept: largeJob("large")})
		must.Eq(t, before, recorder.RecordedBytes())
	})
	t.Run("failed runs", func(t *testing.T) {
		recordEnd(recorder, 0, 0, specifier.EndFailed)
		assertSizeCovers(t, recorder)
	})
	t.Run("read from a snapshot", func(t *testing.T) {
		must.Eq(t, recorder.RecordedBytes(), reload(t, recorder).RecordedBytes())
	})
	t.Run("ended", func(t *testing.T) {
		for _, id := range []string{"a", "large", "larger", "largest"} {
			recorder.Apply(specifier.QueueCommand{Cancel: id})
		}
		assertSizeCovers(t, recorder)
		must.Eq(t, recorder.RecordedBytes(), reload(t, recorder).RecordedBytes())
	})
	t.Run("expired", func(t *testing.T) {
		recorder.Apply(specifier.QueueCommand{Advance: 2 * retention})
		must.Zero(t, recorder.RecordedBytes())
	})
}
