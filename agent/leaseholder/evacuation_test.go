package leaseholder

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// evacuation sends an order that only tells whether the agent's zone is evacuated.
func (f *fixture) evacuation(version uint64, evacuated bool) {
	f.step(OrderReceived{specifier.LeaseOrder{Token: f.holder.token, EvacuationVersion: version, Evacuated: evacuated}})
}

// mustReportVersion requires that the last step reported a version; 0 requires that it reported none.
func (f *fixture) mustReportVersion(version uint64) {
	f.t.Helper()
	reported := uint64(0)
	for _, report := range find[Report](f.actions) {
		reported = max(reported, report.Report.EvacuationVersion)
	}
	must.Eq(f.t, version, reported)
}

func (f *fixture) mustStart(run uint64) {
	f.t.Helper()
	f.order(run)
	must.SliceLen(f.t, 1, find[Start](f.actions))
}

// mustNotStart requires that a start is refused, and that this is not held against the worker.
func (f *fixture) mustNotStart(run uint64) {
	f.t.Helper()
	f.order(run)
	must.SliceEmpty(f.t, find[Start](f.actions))
	f.mustRefuse(specifier.EndRefusedLate)
}

func TestEvacuation(t *testing.T) {
	t.Run("starts are refused until the zone is restored", func(t *testing.T) { // guards against a start in an evacuated zone, and a zone that stays closed
		f := newFixture(t)
		f.evacuation(1, true)
		f.mustReportVersion(1)
		f.mustNotStart(1)
		f.evacuation(2, false)
		f.mustStart(2)
	})
	t.Run("the order itself carries a start", func(t *testing.T) { // guards against starts that are handled before the zone of the same order
		f := newFixture(t)
		f.step(OrderReceived{specifier.LeaseOrder{Token: 1, OrderCount: 1, Evacuated: true, EvacuationVersion: 1, Starts: []specifier.RunStart{{Key: key(1)}}}})
		must.SliceEmpty(t, find[Start](f.actions))
	})
	t.Run("an older version changes nothing", func(t *testing.T) { // guards against a delayed order that reopens the zone
		f := newFixture(t)
		f.evacuation(3, true)
		f.evacuation(2, false)
		f.mustNotStart(1)
		f.step(OrderReceived{specifier.LeaseOrder{Token: 1, OrderCount: 2, Starts: []specifier.RunStart{{Key: key(2)}}}}) // of a leader of an earlier version
		must.SliceEmpty(t, find[Start](f.actions))
	})
	t.Run("a new process knows no zone", func(t *testing.T) { // guards against a new process that confirms what it has not applied
		f := newFixture(t)
		f.holder.renew()
		f.mustReportVersion(0)
	})
}

// Guards against a version that is reported while a start sent before may still begin: the operator would be told that the zone is evacuated.
func TestEvacuationDuringAStart(t *testing.T) {
	begin := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.mustStart(1)
		f.evacuation(1, true)
		f.mustReportVersion(0)
		return f
	}
	t.Run("answered", func(t *testing.T) {
		f := begin(t)
		f.step(Started{Answer: f.answer(), Key: key(1)})
		f.mustReportVersion(1)
	})
	t.Run("refused by the worker", func(t *testing.T) {
		f := begin(t)
		f.step(Started{Answer: f.answer(), Key: key(1), Refused: true, Kind: specifier.EndRefusedResources})
		f.mustReportVersion(1)
	})
	t.Run("unanswered", func(t *testing.T) {
		f := begin(t)
		f.step(Started{Answer: Answer{CalledAt: f.now, Lost: true}, Key: key(1)})
		f.mustReportVersion(0)
		f.answerPolls(nil, nil)
		f.now = f.now.Add(1)
		f.step(Stopped{Answer: f.answer(), Key: key(1)})
		f.mustReportVersion(0)
		f.now = f.now.Add(1)
		f.answerPolls(nil, nil)
		f.mustReportVersion(1)
	})
	t.Run("after a change of leader", func(t *testing.T) { // guards against a confirmation that the new leader never gets
		f := begin(t)
		f.step(Disconnected{})
		f.step(Started{Answer: f.answer(), Key: key(1)})
		f.step(Connected{})
		f.mustReportVersion(1)
	})
}
