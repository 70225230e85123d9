package dispatcher

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// noted returns the highest end that the actions let the workers forget.
func noted(actions []Action) uint64 {
	highest := uint64(0)
	for _, order := range find[Order](actions) {
		highest = max(highest, order.Order.Noted)
	}
	return highest
}

// reportEnd lets agent 1 list one end, and returns what the dispatcher does before anything is recorded.
func (b *desk) reportEnd(number uint64, key specifier.RunKey, how specifier.EndKind) []Action {
	return b.d.Step(b.now, ReportReceived{Stream: 1, Report: specifier.LeaseReport{Agent: name(1), Incarnation: 1,
		Ends: []specifier.RunEnd{{Number: number, Key: key, How: how}}}})
}

func (b *desk) recordEnd(key specifier.RunKey, how specifier.EndKind) []Action {
	_, step, index, _ := splitTask(key.Task)
	return b.d.Step(b.now, Applied{specifier.QueueCommand{Ends: []specifier.TaskEnd{{Job: jobOf(key.Task), Step: step, Index: index, Run: key.Run, How: how}}}})
}

// Guards against a kept job that never ends because the log did not take the end of its last task: a leader whose lease has ended for
// a moment refuses commands and goes on leading.
func TestEndThatTheLogDidNotTake(t *testing.T) {
	b := newDesk(t, 1)
	b.submit("a", 1, false)
	key := b.starts()[0].Key
	proposed := find[Propose](b.reportEnd(1, key, specifier.EndDone))
	must.SliceLen(t, 1, proposed)
	must.SliceEmpty(t, find[Propose](b.d.Step(b.now, Rejected(proposed[0]))))
	b.leading = false
	b.advance(recordAgain)
	must.SliceEmpty(t, find[Propose](b.actions))
	b.leading = true
	b.advance(recordAgain)
	again := find[Propose](b.actions)
	must.SliceLen(t, 1, again)
	must.Eq(t, proposed[0].Command.Ends, again[0].Command.Ends)
	must.Eq(t, 1, noted(b.d.Step(b.now, Applied(again[0]))))
	must.Eq(t, specifier.JobCompleted, b.d.Recorder.Job("a").State)
}

func TestTwoEndsOfOneTask(t *testing.T) {
	t.Run("another run's end is recorded", func(t *testing.T) { // guards against an end that is noted before it is recorded itself
		b := newDesk(t, 1)
		b.submit("a", 1, false)
		key := b.starts()[0].Key
		must.SliceLen(t, 1, find[Propose](b.reportEnd(1, key, specifier.EndDone)))
		actions := b.recordEnd(specifier.RunKey{Task: key.Task, Run: key.Run - 1}, specifier.EndFailed)
		must.Eq(t, 0, noted(actions))
		b.actions = actions
		must.SliceEmpty(t, b.starts())
		must.Eq(t, 1, noted(b.recordEnd(key, specifier.EndDone)))
	})
	t.Run("an end that an earlier leader recorded", func(t *testing.T) { // guards against an attempt that counts twice
		b := newDesk(t, 1)
		b.submit("a", 1, false)
		key := b.starts()[0].Key
		b.reportEnd(1, key, specifier.EndFailed)
		b.recordEnd(key, specifier.EndFailed)
		b.step(BecameFollower{})
		b.step(BecameLeader{Term: 2})
		b.attach(1)
		b.report(1, func(report *specifier.LeaseReport) {
			report.Ends, report.Runs = []specifier.RunEnd{{Number: 1, Key: key, How: specifier.EndFailed}}, nil
		})
		must.SliceEmpty(t, find[Propose](b.actions))
		must.Eq(t, 1, noted(b.actions))
		must.Eq(t, 1, b.d.Recorder.Job("a").Failures(0, 0))
	})
	t.Run("a failure of a run that was replaced", func(t *testing.T) { // guards against an attempt beyond the limit of the queue
		b := newDesk(t, 1)
		b.submit("a", 1, false)
		key := b.starts()[0].Key
		b.report(1, func(report *specifier.LeaseReport) { report.Runs = nil }) // its lease has ended
		again := b.starts()
		must.SliceLen(t, 1, again)
		must.SliceLen(t, 1, find[Propose](b.reportEnd(1, key, specifier.EndFailed)))
		b.recordEnd(key, specifier.EndFailed)
		must.SliceLen(t, 1, find[Propose](b.reportEnd(2, again[0].Key, specifier.EndFailed)))
		b.actions = b.recordEnd(again[0].Key, specifier.EndFailed)
		must.Eq(t, specifier.JobFailed, b.d.Recorder.Job("a").State)
		must.SliceEmpty(t, b.starts())
	})
}
