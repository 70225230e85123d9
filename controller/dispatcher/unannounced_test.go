package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// listUnannounced opens a stream of agent 1, whose restarted process has not heard from its worker yet but polls it, and lists an end of the
// worker incarnation.
func (f *fixture) listUnannounced(workerStart time.Time, end specifier.RunEnd) {
	report := specifier.LeaseReport{Agent: agentName(1), Incarnation: 2, RunsComplete: true}
	f.step(ReportReceived{Stream: laterStream, Report: report}) // learns the token
	report.AllRunsKnown, report.Token = true, f.d.fence(f.d.agents[agentName(1)])
	report.WorkerStartedAt, report.Ends = workerStart, []specifier.RunEnd{end}
	f.step(ReportReceived{Stream: laterStream, Report: report})
}

// mustAcknowledge requires that the agent is told once that the end of this incarnation of its worker is recorded.
func (f *fixture) mustAcknowledge(end uint64, workerStart time.Time) {
	f.t.Helper()
	var acknowledged []specifier.LeaseOrder
	for _, order := range find[Order](f.actions) {
		if order.Order.AcknowledgedEnd > 0 {
			acknowledged = append(acknowledged, order.Order)
		}
	}
	must.SliceLen(f.t, 1, acknowledged)
	must.Eq(f.t, end, acknowledged[0].AcknowledgedEnd)
	must.Eq(f.t, workerStart, acknowledged[0].AcknowledgedWorkerStart)
}

// Guards against ends that are not taken note of, or are taken for those of an earlier incarnation of the worker, because the agent was
// restarted and the worker has not announced itself since.
func TestEndsOfAWorkerThatIsNotAnnounced(t *testing.T) {
	former := time.Unix(1, 0) // as announced by the fixture
	submitted := func(t *testing.T) (*fixture, specifier.RunKey) {
		f := newFixture(t, 1)
		f.submit("a", 1, false)
		return f, f.starts()[0].Key
	}
	t.Run("the same incarnation", func(t *testing.T) {
		f, key := submitted(t)
		f.listUnannounced(former, specifier.RunEnd{Number: 1, Key: key, Kind: specifier.EndDone})
		f.mustAcknowledge(1, former)
		must.Eq(t, specifier.JobCompleted, f.d.Recorder.Job("a").State)
	})
	t.Run("a new leader", func(t *testing.T) {
		f, key := submitted(t)
		f.step(BecameFollower{})
		f.step(BecameLeader{Term: 2})
		f.listUnannounced(former, specifier.RunEnd{Number: 1, Key: key, Kind: specifier.EndDone})
		f.mustAcknowledge(1, former)
		must.Eq(t, specifier.JobCompleted, f.d.Recorder.Job("a").State)
	})
	t.Run("a later incarnation", func(t *testing.T) { // whose ends are numbered from 1 again
		f, key := submitted(t)
		f.reportEnd(1, specifier.RunKey{Task: "other.0.0.0", Run: 1}, specifier.EndDone)
		later := former.Add(time.Hour)
		f.reattach(2, []specifier.LeasedRun{{Key: key, Resources: taskResources}}, nil)
		f.listUnannounced(later, specifier.RunEnd{Number: 1, Key: key, Kind: specifier.EndDone})
		must.SliceEmpty(t, f.starts())
		f.mustAcknowledge(1, later)
		must.Eq(t, specifier.JobCompleted, f.d.Recorder.Job("a").State)
	})
	t.Run("the announcement comes after the ends", func(t *testing.T) { // which then count once
		f, key := submitted(t)
		f.listUnannounced(former, specifier.RunEnd{Number: 1, Key: key, Kind: specifier.EndFailed})
		report := specifier.LeaseReport{Agent: agentName(1), Incarnation: 2, AllRunsKnown: true, RunsComplete: true, Token: f.d.fence(f.d.agents[agentName(1)]),
			WorkerStartedAt: former, Worker: &specifier.LeasedWorker{ID: agentName(1), StartedAt: former, Pool: "p", Capacity: specifier.Resources{MilliCores: 2000, Memory: 100}}}
		f.step(ReportReceived{Stream: laterStream, Report: report})
		must.Eq(t, uint64(1), f.d.agents[agentName(1)].acknowledgedEnd)
	})
}
