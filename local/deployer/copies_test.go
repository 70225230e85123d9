package deployer_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
	"oleandertally/entry/responder"
	"oleandertally/local/submitter"
)

const (
	// wide is more tasks than the site's 32 slots, so that a kill finds running and waiting ones.
	wide = 40
	// half is how many starts a test waits for before it kills a process.
	half = 20
	// runTime leaves time to kill a process while its tasks run.
	runTime = 700 * time.Millisecond
)

// Guards against a second start and against callers of one submission that get different answers.
func TestCopies(t *testing.T) {
	t.Run("no fault", func(t *testing.T) {
		h := newHarness(t, newStartWatch(half))
		responses := h.callAll("copies", newJob("hold", wide, runTime))()
		mustCompleteOnce(h, responses)
	})
	t.Run("owner entry killed", func(t *testing.T) {
		h := newHarness(t, newStartWatch(half))
		wait := h.callAll("copies", newJob("hold", wide, runTime))
		h.awaitStarts()
		h.site.KillEntry(h.owner("copies"))
		mustCompleteOnce(h, wait())
	})
	t.Run("leading controller killed", func(t *testing.T) {
		h := newHarness(t, newStartWatch(half))
		wait := h.callAll("copies", newJob("hold", wide, runTime))
		h.awaitStarts()
		killLeader(h)
		mustCompleteOnce(h, wait())
	})
	t.Run("agent killed", func(t *testing.T) {
		h := newHarness(t, newStartWatch(half))
		wait := h.callAll("copies", newJob("hold", wide, runTime))
		h.awaitStarts()
		killBusyAgent(h)
		answer := h.mustAgree(wait())
		must.Eq(t, specifier.Failed, answer.Outcome)
		must.Eq(t, specifier.WorkerLost, answer.Reason)
		must.True(t, answer.MayHaveRun)
		h.mustStart("copies", wide, 0, 1)
		h.mustHold(wide, false)
	})
	t.Run("agent killed, repeatable", func(t *testing.T) {
		h := newHarness(t, newStartWatch(half))
		wait := h.callAll("copies", newJob("quote", wide, runTime))
		h.awaitStarts()
		killBusyAgent(h)
		answer := h.mustAgree(wait())
		must.Eq(t, specifier.Complete, answer.Outcome)
		must.Len(t, wide, answer.Results)
		// Only a task that was lost with its agent starts again, which the verifier checks.
		h.mustStart("copies", wide, 1, 2)
		h.mustHold(wide, true)
	})
	t.Run("owner entry and an agent killed", func(t *testing.T) {
		h := newHarness(t, newStartWatch(half))
		wait := h.callAll("copies", newJob("hold", wide, runTime))
		h.awaitStarts()
		killBusyAgent(h)
		h.site.KillEntry(h.owner("copies"))
		answer := h.mustAgree(wait())
		must.Eq(t, specifier.Failed, answer.Outcome)
		must.True(t, answer.MayHaveRun)
		h.mustStart("copies", wide, 0, 1)
		h.mustHold(wide, false)
	})
}

// Guards against jobs that get a partial or false answer, or none, while the controllers elect a leader.
func TestLeaderLost(t *testing.T) {
	const jobs, tasks = 60, 4
	h := newHarness(t, newStartWatch(half))
	body, err := json.Marshal(submitter.NewSubmission(newJob("hold", tasks, 200*time.Millisecond)))
	must.NoError(t, err)
	responses := make([]responder.Response, jobs)
	var group sync.WaitGroup
	for i := range jobs {
		group.Go(func() { responses[i] = h.call(i, fmt.Sprintf("job-%d", i), body) })
	}
	h.awaitStarts()
	killLeader(h)
	// Jobs that come while nobody leads.
	late := make([]responder.Response, jobs)
	for i := range jobs {
		group.Go(func() { late[i] = h.call(i, fmt.Sprintf("late-%d", i), body) })
	}
	group.Wait()
	must.NoError(t, h.ctx.Err())
	for i := range jobs {
		h.mustBeTrue(fmt.Sprintf("job-%d", i), tasks, responses[i])
		h.mustBeTrue(fmt.Sprintf("late-%d", i), tasks, late[i])
	}
	h.mustHold(tasks, false)
}

// mustCompleteOnce checks that all copies got one complete answer and each task started once.
func mustCompleteOnce(h *harness, responses []responder.Response) {
	h.t.Helper()
	answer := h.mustAgree(responses)
	must.Eq(h.t, specifier.Complete, answer.Outcome, must.Sprint(answer.Reason, answer.Detail))
	must.Len(h.t, wide, answer.Results)
	h.mustStart("copies", wide, 1, 1)
	h.mustHold(wide, false)
}

func killLeader(h *harness) {
	h.t.Helper()
	leader, err := h.site.Leader(h.ctx)
	must.NoError(h.t, err)
	h.site.KillController(leader)
}

// killBusyAgent kills the first agent whose upstream has started a task.
func killBusyAgent(h *harness) {
	h.t.Helper()
	for i := range h.site.Workers {
		if h.watch.busy(fmt.Sprintf("worker-%02d", i+1)) {
			h.site.KillAgent(i)
			return
		}
	}
	h.t.Fatal("no worker has started a task")
}
