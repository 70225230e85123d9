package dispatcher

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// mustLog requires that the last step logged these events of one name, by queue and count.
func (z *zoneFixture) mustLog(name string, count int) {
	z.t.Helper()
	var logged []LogEvent
	for _, event := range find[LogEvent](z.actions) {
		if event.Event == name {
			logged = append(logged, event)
		}
	}
	must.Eq(z.t, []LogEvent{{Event: name, Queue: "q", Count: count}}, logged)
}

func (z *zoneFixture) mustRefuseStranded() {
	z.t.Helper()
	reply := z.mustReply(specifier.QueueRefused)
	must.Eq(z.t, maxRetryAfter, reply.RetryAfter)
	must.Eq(z.t, strandedDetail, reply.Detail)
}

func TestWorkThatOnlyEvacuatedZonesCanRun(t *testing.T) {
	evacuated := func(t *testing.T, zones ...string) *zoneFixture {
		z := newZoneFixture(t, zones...)
		z.evacuate("a")
		z.commit()
		z.confirm(1)
		return z
	}
	t.Run("a job that arrives is refused", func(t *testing.T) { // guards against callers that wait in vain
		z := evacuated(t, "a")
		z.submit("x", 1, true)
		z.mustRefuseStranded()
	})
	t.Run("a job that waits is refused", func(t *testing.T) {
		z := newZoneFixture(t, "a")
		z.submit("x", 2, true)
		z.submit("yy", 1, true)
		z.evacuate("a")
		z.commit()
		z.mustRefuseStranded()
	})
	t.Run("the last other worker drains", func(t *testing.T) {
		z := evacuated(t, "a", "b")
		z.submit("x", 2, true)
		z.submit("yy", 1, true)
		z.renew(2, func(report *specifier.LeaseReport) { report.Worker.Draining = true })
		z.mustRefuseStranded()
	})
	t.Run("a label", func(t *testing.T) { // guards against a job that waits for a label of an evacuated zone beside workers without it
		z := newZoneFixture(t, "a", "b")
		labelled := func(report *specifier.LeaseReport) { report.Worker.Labels = []string{"fast"} }
		z.renew(1, labelled)
		z.evacuate("a")
		z.commit()
		z.submitLabelled("x", "fast")
		z.mustRefuseStranded()
		z.renew(2, labelled)
		z.submitLabelled("yy", "fast")
		z.mustStartAt(2)
	})
	t.Run("a kept job waits", func(t *testing.T) { // guards against work that seems to wait for room, which no worker will ever give it
		z := evacuated(t, "a")
		z.submit("x", 3, false)
		z.advance(surveyInterval)
		z.mustLog("WorkWaitsForZone", 3)
		must.Eq(t, []WaitingTasks{{Queue: "q", Reason: WaitsForZone, Tasks: 3}}, z.d.Waiting())
		z.confirm(1)
		z.restore("a")
		z.commit()
		z.mustLog("WorkWaitsForZoneEnded", 0)
		z.mustStartAt(1)
		must.Eq(t, []WaitingTasks{{Queue: "q", Reason: WaitsForRoom, Tasks: 1}}, z.d.Waiting())
	})
	t.Run("while a new leader hears the agents", func(t *testing.T) { // guards against a refusal because of a worker that is not heard yet
		z := evacuated(t, "a", "b")
		z.lead()
		z.renew(1, nil)
		z.submit("x", 1, true)
		must.SliceEmpty(t, find[Reply](z.actions))
	})
}

func (z *zoneFixture) submitLabelled(id, label string) {
	z.step(CallReceived{Stream: caller, Sequence: uint64(len(id)), Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/" + id,
		Job: specifier.QueuedJob{Transient: true, Steps: []specifier.Step{{Count: 1, Resources: taskResources, Estimate: z.estimate, Label: label}}}}})
}
