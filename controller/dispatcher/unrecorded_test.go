package dispatcher

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a task of a kept job that starts before the job is recorded, because its caller sends the job again meanwhile: if the leader
// is lost then, the next one does not know the job and starts the task again after its end was acknowledged.
func TestResubmissionBeforeTheRecord(t *testing.T) {
	f := newFixture(t, 1)
	submit := func(stream Stream) {
		f.actions = f.d.Step(f.now, CallReceived{Stream: stream, Sequence: 1, Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/a",
			Job: specifier.QueuedJob{Steps: []specifier.Step{{Count: 1, Resources: taskResources, Estimate: f.estimate}}}}})
	}
	submit(caller)
	accept := find[Propose](f.actions)
	must.SliceLen(t, 1, accept)
	must.SliceEmpty(t, f.starts())
	submit(caller + 1)
	must.SliceEmpty(t, f.starts())
	f.step(Applied(accept[0]))
	must.SliceLen(t, 1, f.starts())
	must.SliceLen(t, 2, find[Reply](f.actions))
}
