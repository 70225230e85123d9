package dispatcher

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// acknowledged returns the highest number of an end that the actions acknowledge.
func acknowledged(actions []Action) uint64 {
	highest := uint64(0)
	for _, order := range find[Order](actions) {
		highest = max(highest, order.Order.AcknowledgedEnd)
	}
	return highest
}

// reportEnd reports one end from agent 1, and returns the actions before anything is recorded.
func (f *fixture) reportEnd(number uint64, key specifier.RunKey, kind specifier.EndKind) []Action {
	return f.d.Step(f.now, ReportReceived{Stream: 1, Report: specifier.LeaseReport{Agent: agentName(1), Incarnation: 1,
		Ends: []specifier.RunEnd{{Number: number, Key: key, Kind: kind}}}})
}

func (f *fixture) recordEnd(key specifier.RunKey, kind specifier.EndKind) []Action {
	_, step, index, _ := splitTask(key.Task)
	return f.d.Step(f.now, Applied{specifier.QueueCommand{Ends: []specifier.TaskEnd{{Job: jobOf(key.Task), Step: step, Index: index, Run: key.Run, Kind: kind}}}})
}

// Guards against a recorded job that never ends because the log rejected the end of its last task: a leader whose lease has lapsed
// for a moment rejects commands and then continues to lead.
func TestEndThatTheLogRejected(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("a", 1, false)
	key := f.starts()[0].Key
	proposed := find[Propose](f.reportEnd(1, key, specifier.EndDone))
	must.SliceLen(t, 1, proposed)
	must.SliceEmpty(t, find[Propose](f.d.Step(f.now, Rejected{Command: proposed[0].Command})))
	f.leading = false
	f.advance(recordRetryInterval)
	must.SliceEmpty(t, find[Propose](f.actions))
	f.leading = true
	f.advance(recordRetryInterval)
	retries := find[Propose](f.actions)
	must.SliceLen(t, 1, retries)
	must.Eq(t, proposed[0].Command.Ends, retries[0].Command.Ends)
	must.Eq(t, 1, acknowledged(f.d.Step(f.now, Applied(retries[0]))))
	must.Eq(t, specifier.JobCompleted, f.d.Recorder.Job("a").State)
}

func TestTwoEndsOfOneTask(t *testing.T) {
	t.Run("another run's end is recorded", func(t *testing.T) { // guards against acknowledging an end when another run's end is recorded
		f := newFixture(t, 1)
		f.submit("a", 1, false)
		key := f.starts()[0].Key
		must.SliceLen(t, 1, find[Propose](f.reportEnd(1, key, specifier.EndDone)))
		actions := f.recordEnd(specifier.RunKey{Task: key.Task, Run: key.Run - 1}, specifier.EndFailed)
		must.Eq(t, 0, acknowledged(actions))
		f.actions = actions
		must.SliceEmpty(t, f.starts())
		must.Eq(t, 1, acknowledged(f.recordEnd(key, specifier.EndDone)))
	})
	t.Run("an end that an earlier leader recorded", func(t *testing.T) { // guards against counting an attempt twice
		f := newFixture(t, 1)
		f.submit("a", 1, false)
		key := f.starts()[0].Key
		f.reportEnd(1, key, specifier.EndFailed)
		f.recordEnd(key, specifier.EndFailed)
		f.step(BecameFollower{})
		f.step(BecameLeader{Term: 2})
		f.attach(1)
		f.report(1, func(report *specifier.LeaseReport) {
			report.Ends, report.Runs = []specifier.RunEnd{{Number: 1, Key: key, Kind: specifier.EndFailed}}, nil
		})
		must.SliceEmpty(t, find[Propose](f.actions))
		must.Eq(t, 1, acknowledged(f.actions))
		must.Eq(t, 1, f.d.Recorder.Job("a").Failures(0, 0))
	})
	t.Run("a failure of a run that was replaced", func(t *testing.T) { // guards against an attempt beyond the limit of the queue
		f := newFixture(t, 1)
		f.submit("a", 1, false)
		key := f.starts()[0].Key
		f.report(1, func(report *specifier.LeaseReport) { report.Runs = nil }) // its lease has ended
		retries := f.starts()
		must.SliceLen(t, 1, retries)
		must.SliceLen(t, 1, find[Propose](f.reportEnd(1, key, specifier.EndFailed)))
		f.recordEnd(key, specifier.EndFailed)
		must.SliceLen(t, 1, find[Propose](f.reportEnd(2, retries[0].Key, specifier.EndFailed)))
		f.actions = f.recordEnd(retries[0].Key, specifier.EndFailed)
		must.Eq(t, specifier.JobFailed, f.d.Recorder.Job("a").State)
		must.SliceEmpty(t, f.starts())
	})
}

// Guards against ends that are never acknowledged because the order was lost: their agent reports them again and again, and its worker,
// which lists a limited number of ends, lists no later ones.
func TestAcknowledgementThatIsLost(t *testing.T) {
	ended := func(t *testing.T) (*fixture, []specifier.RunEnd) {
		f := newFixture(t, 1)
		f.submit("a", 1, false)
		key := f.starts()[0].Key
		must.SliceLen(t, 1, find[Propose](f.reportEnd(1, key, specifier.EndDone)))
		return f, []specifier.RunEnd{{Number: 1, Key: key, Kind: specifier.EndDone}}
	}
	t.Run("the agent is away when the end is recorded", func(t *testing.T) {
		f, ends := ended(t)
		f.step(AgentDisconnected{Stream: 1})
		must.Eq(t, 0, acknowledged(f.recordEnd(ends[0].Key, specifier.EndDone)))
		f.reattach(1, nil, ends)
		must.Eq(t, 1, acknowledged(f.actions))
	})
	t.Run("the stream breaks with the order", func(t *testing.T) {
		f, ends := ended(t)
		must.Eq(t, 1, acknowledged(f.recordEnd(ends[0].Key, specifier.EndDone)))
		f.reattach(2, nil, ends)
		must.Eq(t, 1, acknowledged(f.actions))
	})
	t.Run("the agent did not know its worker", func(t *testing.T) { // it has ignored the order
		f, ends := ended(t)
		must.Eq(t, 1, acknowledged(f.recordEnd(ends[0].Key, specifier.EndDone)))
		for range 2 {
			f.report(1, func(report *specifier.LeaseReport) { report.Ends = ends })
			must.Eq(t, 1, acknowledged(f.actions))
		}
	})
	t.Run("nothing to acknowledge", func(t *testing.T) {
		f, ends := ended(t)
		must.Eq(t, 1, acknowledged(f.recordEnd(ends[0].Key, specifier.EndDone)))
		f.report(1, nil)
		must.Eq(t, 0, acknowledged(f.actions))
	})
	t.Run("an end that is not recorded", func(t *testing.T) { // guards against acknowledging an end too early
		f, ends := ended(t)
		f.reattach(1, nil, ends)
		must.Eq(t, 0, acknowledged(f.actions))
	})
}
