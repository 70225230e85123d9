package dispatcher

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a second run of a task of which two agents list a run to a new leader: the earlier leader had replaced the one with the lower
// number, which may not be known to have ended at its agent. If that one is kept, the task is started again when it turns out to have ended.
func TestNewestRunIsAdopted(t *testing.T) {
	older, newer := specifier.RunKey{Task: "a.0.0.0", Run: runTermFactor + 1}, specifier.RunKey{Task: "a.0.0.0", Run: runTermFactor + 2}
	for name, order := range map[string][]specifier.RunKey{"the older run is listed first": {older, newer}, "the newer run is listed first": {newer, older}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.submit("a", 1, false)
			f.step(BecameFollower{})
			f.step(BecameLeader{Term: 2})
			f.report(1, nil) // learns the token
			f.report(2, nil)
			for i, key := range order {
				f.report(i+1, func(report *specifier.LeaseReport) {
					report.Runs = []specifier.LeasedRun{{Key: key, Resources: taskResources}}
				})
			}
			must.Eq(t, []specifier.RunKey{older}, f.stops())
			must.Eq(t, newer, f.d.jobs["a"].tasks[0][0].run.key)
			must.SliceEmpty(t, f.starts())
		})
	}
}
