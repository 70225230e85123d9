package dispatcher

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// innerPath is the path of job a in a queue whose prefix continues that of the fixture's queue.
const innerPath = "/q/inner/a"

// submitAt submits a job of two steps with one task each.
func (f *fixture) submitAt(path string, transient bool) {
	f.lastSubmission++
	f.step(CallReceived{Stream: caller, Sequence: 100 + f.lastSubmission, Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: path,
		Job: specifier.QueuedJob{Transient: transient, Steps: []specifier.Step{
			{Count: 1, Resources: taskResources, Estimate: f.estimate}, {Count: 1, Resources: taskResources, Estimate: f.estimate, After: []int{0}}}}}})
}

// newInnerJob returns a fixture whose only worker runs the first task of a job at innerPath. The inner queue is then removed, so that
// the path selects the outer queue.
func newInnerJob(t *testing.T, transient bool) (*fixture, specifier.RunStart) {
	f := newFixture(t, 1)
	outer := testQueue("q", "/q/")
	f.manifest(2, outer, testQueue("inner", "/q/inner/"))
	f.submitAt(innerPath, transient)
	must.SliceLen(t, 1, f.starts())
	start := f.starts()[0]
	f.manifest(3, outer)
	return f, start
}

// mustStop requires that the run is stopped, and that nothing of its job starts once the run has ended.
func (f *fixture) mustStop(start specifier.RunStart) {
	f.t.Helper()
	must.Eq(f.t, []specifier.RunKey{start.Key}, f.stops())
	f.end(start, specifier.EndDone)
	must.SliceEmpty(f.t, f.starts())
}

// Guards against an accepted job that is denied, or whose cancellation is acknowledged and not carried out, because another queue's
// prefix matches its path.
func TestPathTakenOverByAnotherQueue(t *testing.T) {
	t.Run("query", func(t *testing.T) {
		f, _ := newInnerJob(t, false)
		f.callAt(specifier.QueryQueued, innerPath)
		must.Eq(t, specifier.JobRunning, f.mustReply(specifier.QueueOK).State)
	})
	t.Run("cancelled", func(t *testing.T) {
		f, start := newInnerJob(t, false)
		f.callAt(specifier.CancelQueued, innerPath)
		must.Eq(t, specifier.JobCancelled, f.mustReply(specifier.QueueOK).State)
		f.mustStop(start)
	})
	t.Run("cancelled, transient", func(t *testing.T) {
		f, start := newInnerJob(t, true)
		f.callAt(specifier.CancelQueued, innerPath)
		must.Len(t, 2, find[Reply](f.actions)) // to the submission and the cancellation
		f.mustStop(start)
	})
	t.Run("cancelled under a new leader", func(t *testing.T) {
		f, start := newInnerJob(t, false)
		f.step(BecameFollower{})
		f.step(BecameLeader{Term: 2})
		f.callAt(specifier.CancelQueued, innerPath)
		must.Eq(t, specifier.JobCancelled, f.mustReply(specifier.QueueOK).State)
		f.attach(1)
		must.SliceEmpty(t, f.starts())
		f.end(start, specifier.EndDone)
		must.SliceEmpty(t, f.starts())
	})
	t.Run("after its end", func(t *testing.T) {
		f, _ := newInnerJob(t, false)
		f.callAt(specifier.CancelQueued, innerPath)
		f.callAt(specifier.QueryQueued, innerPath)
		must.Eq(t, specifier.JobCancelled, f.mustReply(specifier.QueueOK).State)
	})
	for name, prefix := range map[string]string{"a prefix holds part of the ID": "/q/a", "a prefix holds the whole ID": "/q/ab"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.submit("ab", 1, false)
			start := f.starts()[0]
			f.manifest(2, testQueue("q", "/q/"), testQueue("longer", prefix))
			f.cancel("ab")
			f.mustReply(specifier.QueueOK)
			must.Eq(t, []specifier.RunKey{start.Key}, f.stops())
		})
	}
	t.Run("the path is the prefix of a queue", func(t *testing.T) { // guards against a queue whose jobs can't be counted
		f := newFixture(t, 1)
		f.submit("a", 1, false)
		f.manifest(2, testQueue("q", "/q/"), testQueue("longer", "/q/a"))
		f.query("a")
		must.True(t, f.mustReply(specifier.QueueOK).HasPending)
	})
	t.Run("a path of no job", func(t *testing.T) { // guards against a job that is reached by an ID within another path
		f, _ := newInnerJob(t, false)
		for _, path := range []string{"/q/a", "/q/other/a", "/q/inner/b", "/q/inner/a/"} {
			f.callAt(specifier.CancelQueued, path)
			f.mustReply(specifier.JobNotFound)
			must.SliceEmpty(t, f.stops())
		}
	})
}

// Guards against a job that runs while every attempt to submit it is rejected: the answer to the first one was lost, and its queue was
// removed before the next.
func TestSubmittedAgainAfterItsQueueWasRemoved(t *testing.T) {
	t.Run("another queue's prefix matches", func(t *testing.T) {
		f, _ := newInnerJob(t, false)
		f.submitAt(innerPath, false)
		f.mustReply(specifier.QueueOK)
	})
	t.Run("another queue's prefix matches, transient", func(t *testing.T) { // the attempt waits for the end of the job
		f, _ := newInnerJob(t, true)
		f.submitAt(innerPath, true)
		must.SliceEmpty(t, find[Reply](f.actions))
		f.callAt(specifier.CancelQueued, innerPath)
		must.Len(t, 3, find[Reply](f.actions)) // to both submissions and the cancellation
	})
	t.Run("no queue's prefix matches", func(t *testing.T) {
		f, _ := newInnerJob(t, false)
		f.manifest(4)
		f.submitAt(innerPath, false)
		f.mustReply(specifier.QueueExpired)
		must.SliceEmpty(t, f.starts())
	})
	t.Run("no queue's prefix matches, transient", func(t *testing.T) {
		f, _ := newInnerJob(t, true)
		f.manifest(4)
		f.submitAt(innerPath, true)
		f.mustReply(specifier.QueueExpired)
	})
	t.Run("a new job", func(t *testing.T) { // guards against a job that is accepted by a removed queue
		f, _ := newInnerJob(t, false)
		f.submitAt("/q/inner/b", false)
		f.mustReply(specifier.QueueInvalid)
		f.manifest(4)
		f.submitAt("/q/inner/b", false)
		f.mustReply(specifier.QueueNotFound)
	})
}
