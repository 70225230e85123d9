package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

const grantEnd = 1350 * time.Millisecond // GrantSpan and GrantMargin of Defaults

func TestEvacuation(t *testing.T) {
	t.Run("answered when the agents have applied it", func(t *testing.T) { // guards against an answer before a start under way is known to have begun
		z := newZoneFixture(t, "a", "b", "a")
		call := z.evacuate("a")
		z.commit()
		z.mustAnswer(specifier.QueueOK)
		z.mustNotify(1, 3)
		z.renew(1, nil)
		z.mustAnswer(specifier.QueueOK)
		z.confirm(1)
		z.mustAnswer(specifier.QueueOK)
		z.confirm(3)
		z.mustAnswer(specifier.QueueOK, call)
	})
	t.Run("nothing is placed from the proposal to the restore", func(t *testing.T) { // guards against starts that race with the commit
		z := newZoneFixture(t, "a", "b")
		z.evacuate("a")
		z.submit("x", 4, false)
		z.mustStartAt(2)
		z.commit()
		z.mustStartAt()
		z.restore("a")
		z.mustStartAt()
		z.commit()
		z.mustStartAt(1)
	})
	t.Run("a rejected proposal is taken back", func(t *testing.T) { // guards against a zone that stays closed though the log has no evacuation
		z := newZoneFixture(t, "a")
		call := z.evacuate("a")
		z.submit("x", 1, false)
		z.mustStartAt()
		z.step(Rejected{Command: z.proposed[0]})
		z.mustAnswer(specifier.QueueUnavailable, call)
		z.mustStartAt(1)
	})
	t.Run("a repeat proposes nothing", func(t *testing.T) { // guards against versions that rise with each lost answer
		z := newZoneFixture(t, "a")
		first, second := z.evacuate("a"), z.evacuate("a")
		must.SliceLen(t, 1, z.proposed)
		z.commit()
		third := z.evacuate("a")
		z.confirm(1)
		z.mustAnswer(specifier.QueueOK, first, second, third)
		z.mustAnswerRepeat(t)
	})
	t.Run("an order of a bad zone", func(t *testing.T) { // guards against names that fill the log
		z := newZoneFixture(t, "a")
		for _, zone := range []string{"", "a\n", string(make([]byte, 65)), "\xff"} {
			z.mustRefuseZone(t, z.evacuate(zone))
			z.mustRefuseZone(t, z.restore(zone))
		}
	})
	t.Run("the capacity counts at once", func(t *testing.T) { // guards against jobs that are admitted for workers that get none
		z := newZoneFixture(t, "a", "b")
		must.Eq(t, 4.0, z.d.cores(z.d.pool("p")))
		z.evacuate("a")
		must.Eq(t, 2.0, z.d.cores(z.d.pool("p")))
	})
}

func (z *zoneFixture) mustAnswerRepeat(t *testing.T) {
	t.Helper()
	z.mustAnswerAtOnce(z.evacuate("a"))
	z.restore("a")
	z.commit()
	z.mustAnswerAtOnce(z.restore("a"))
	z.mustAnswerAtOnce(z.restore("never evacuated"))
	must.SliceEmpty(t, z.d.evacuations)
}

func (z *zoneFixture) mustAnswerAtOnce(call uint64) {
	z.t.Helper()
	must.SliceEmpty(z.t, z.proposed)
	z.mustAnswer(specifier.QueueOK, call)
}

func (z *zoneFixture) mustRefuseZone(t *testing.T, call uint64) {
	t.Helper()
	must.SliceEmpty(t, z.proposed)
	z.mustAnswer(specifier.QueueInvalid, call)
}

// Guards against an answer that never comes because an agent doesn't answer, and against one while such an agent may still start.
func TestEvacuationWithoutConfirmation(t *testing.T) {
	begin := func(t *testing.T) (*zoneFixture, uint64) {
		z := newZoneFixture(t, "a", "b")
		z.submit("x", 4, true)
		z.mustStartAt(1, 2)
		z.now = z.now.Add(600 * time.Millisecond)
		call := z.evacuate("a")
		z.commit()
		return z, call
	}
	t.Run("the agent is cut off", func(t *testing.T) {
		z, call := begin(t)
		z.advance(grantEnd - 600*time.Millisecond - time.Millisecond)
		z.mustAnswer(specifier.QueueOK)
		z.advance(time.Millisecond)
		must.SliceContains(t, sequences(z.actions), call)
	})
	t.Run("a start stays without an answer", func(t *testing.T) {
		z, call := begin(t)
		for range 13 {
			z.now = z.now.Add(100 * time.Millisecond)
			z.renew(1, nil)
			z.mustAnswer(specifier.QueueOK)
		}
		z.advance(grantEnd - 1300*time.Millisecond)
		z.mustAnswer(specifier.QueueOK, call)
	})
	t.Run("the agent was restarted", func(t *testing.T) { // a start of the former process may still begin until the new one has polled the worker
		z, call := begin(t)
		restarted := func(known bool) {
			z.renewal++
			z.step(ReportReceived{Stream: 50, Report: specifier.LeaseReport{Agent: agentName(1), Incarnation: 2, Renewal: z.renewal, Zone: "a", RunsComplete: true,
				AllRunsKnown: known, Token: z.d.fence(z.d.agents[agentName(1)]), EvacuationVersion: 1}})
		}
		restarted(false)
		z.mustAnswer(specifier.QueueOK)
		restarted(true)
		z.mustAnswer(specifier.QueueOK, call)
	})
}

func sequences(actions []Action) []uint64 {
	var list []uint64
	for _, reply := range find[Reply](actions) {
		list = append(list, reply.Sequence)
	}
	return list
}

// Guards against starts at agents of an earlier version, which don't say in which zone they are.
func TestAgentWithoutZone(t *testing.T) {
	z := newZoneFixture(t, "", "b")
	z.submit("x", 4, false)
	z.mustStartAt(1, 2)
	call := z.evacuate("a")
	z.submit("yy", 1, false)
	z.mustStartAt()
	z.commit()
	z.mustNotify(1)
	z.now = z.now.Add(time.Millisecond)
	z.report(1, func(report *specifier.LeaseReport) { report.LastOrder-- })
	z.mustAnswer(specifier.QueueOK)
	z.renew(1, func(report *specifier.LeaseReport) {
		report.Runs = []specifier.LeasedRun{{Key: specifier.RunKey{Task: "y.0.0.0", Run: 1}, Starting: true}}
	})
	z.mustAnswer(specifier.QueueOK)
	z.renew(1, func(report *specifier.LeaseReport) { report.Runs = report.Runs[:0] })
	z.mustAnswer(specifier.QueueOK, call)
	z.mustStartAt()
	z.restore("a")
	z.commit()
	z.mustStartAt(1)
}

func TestRacingOrders(t *testing.T) {
	t.Run("restored while it waits", func(t *testing.T) { // guards against an operator that repeats the evacuation after the restore
		z := newZoneFixture(t, "a")
		evacuation := z.evacuate("a")
		z.commit()
		restore := z.restore("a")
		z.commit()
		z.mustAnswer(specifier.QueueOK, restore, evacuation)
		must.SliceEmpty(t, z.d.evacuations)
	})
	t.Run("the order in the log decides", func(t *testing.T) { // guards against an answer by the state that a change under way will end
		z := newZoneFixture(t, "a")
		z.evacuate("a")
		z.commit()
		z.confirm(1)
		restore, again := z.restore("a"), z.evacuate("a")
		z.mustAnswer(specifier.QueueOK)
		must.SliceLen(t, 2, z.proposed)
		z.commit()
		z.mustAnswer(specifier.QueueOK, restore)
		z.submit("x", 1, false)
		z.mustStartAt()
		z.commit()
		z.mustNotify(1)
		z.confirm(1)
		z.mustAnswer(specifier.QueueOK, again)
	})
	t.Run("an evacuation that is not committed is withdrawn", func(t *testing.T) { // guards against a withdrawal that is lost because nothing is evacuated yet
		z := newZoneFixture(t, "a")
		z.evacuate("a")
		restore := z.restore("a")
		z.mustAnswer(specifier.QueueOK)
		z.commit()
		z.mustAnswer(specifier.QueueOK)
		z.commit()
		must.SliceContains(t, sequences(z.actions), restore)
		must.False(t, z.d.Recorder.AnyEvacuated())
	})
}

// Guards against a new leader that places in an evacuated zone, or that answers while an agent may act for an earlier leader.
func TestNewLeaderKeepsEvacuations(t *testing.T) {
	begin := func(t *testing.T) *zoneFixture {
		z := newZoneFixture(t, "a", "b")
		z.evacuate("a")
		z.commit() // no answer: the leader is lost
		z.lead()
		return z
	}
	t.Run("it waits for agents of earlier leaders", func(t *testing.T) {
		z := begin(t)
		call := z.evacuate("a")
		must.SliceEmpty(t, z.proposed)
		z.renew(2, nil)
		z.renew(2, nil)
		z.mustAnswer(specifier.QueueOK)
		z.advance(grantEnd)
		must.SliceContains(t, sequences(z.actions), call)
	})
	t.Run("its agents confirm", func(t *testing.T) {
		z := begin(t)
		call := z.evacuate("a")
		for _, agent := range []int{1, 2, 1} {
			z.mustAnswer(specifier.QueueOK)
			z.renew(agent, nil)
		}
		z.confirm(1)
		z.mustAnswer(specifier.QueueOK, call)
	})
	t.Run("it places nothing there", func(t *testing.T) {
		z := begin(t)
		for _, agent := range []int{1, 2, 1, 2} {
			z.renew(agent, nil)
		}
		z.submit("x", 4, false)
		z.mustStartAt(2)
	})
	t.Run("an entry of an earlier leader is committed", func(t *testing.T) {
		z := newZoneFixture(t, "a")
		z.step(Applied{specifier.QueueCommand{Evacuate: "a"}})
		z.submit("x", 1, false)
		z.mustStartAt()
		z.step(Applied{specifier.QueueCommand{Restore: "a"}})
		z.mustStartAt(1)
	})
}
