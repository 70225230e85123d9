package deployer_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"oleandertally/core/specifier"
	"oleandertally/entry/answerer"
	"oleandertally/local/submitter"
)

const (
	// wideTasks exceeds the site's 32 slots, so that a killed process leaves both running and queued tasks.
	wideTasks = 40
	// startsBeforeKill is the number of started tasks that a test waits for before it kills a process.
	startsBeforeKill = 20
	// runTime is long enough to kill a process while its tasks run.
	runTime = 700 * time.Millisecond
)

// Guards against tasks that start twice and callers that get different answers when many copies of one request
// reach all entries concurrently, also when an entry, the leading controller or an agent is killed meanwhile.
func TestCopies(t *testing.T) {
	t.Run("no fault", func(t *testing.T) {
		h := newHarness(t, newStartWatch(startsBeforeKill))
		responses := h.submitCopies("copies", newJob("hold", wideTasks, runTime))()
		mustCompleteOnce(h, responses)
	})
	t.Run("owner entry killed", func(t *testing.T) {
		h := newHarness(t, newStartWatch(startsBeforeKill))
		wait := h.submitCopies("copies", newJob("hold", wideTasks, runTime))
		h.awaitStarts()
		h.site.KillEntry(h.owner("copies"))
		mustCompleteOnce(h, wait())
	})
	t.Run("leading controller killed", func(t *testing.T) {
		h := newHarness(t, newStartWatch(startsBeforeKill))
		wait := h.submitCopies("copies", newJob("hold", wideTasks, runTime))
		h.awaitStarts()
		killLeader(h)
		mustCompleteOnce(h, wait())
	})
	t.Run("agent killed", func(t *testing.T) {
		h := newHarness(t, newStartWatch(startsBeforeKill))
		wait := h.submitCopies("copies", newJob("hold", wideTasks, runTime))
		h.awaitStarts()
		killBusyAgent(h)
		answer := h.mustAgree(wait())
		must.Eq(t, specifier.Failed, answer.Outcome)
		must.Eq(t, specifier.WorkerLost, answer.Reason)
		must.True(t, answer.MayHaveRun)
		h.mustCountStarts("copies", wideTasks, 0, 1)
		h.mustKeepGuarantees(wideTasks, false)
	})
	t.Run("agent killed, repeatable", func(t *testing.T) {
		h := newHarness(t, newStartWatch(startsBeforeKill))
		wait := h.submitCopies("copies", newJob("quote", wideTasks, runTime))
		h.awaitStarts()
		killBusyAgent(h)
		answer := h.mustAgree(wait())
		must.Eq(t, specifier.Complete, answer.Outcome)
		must.Len(t, wideTasks, answer.Results)
		// The verifier checks that only tasks that were lost with their agent start again.
		h.mustCountStarts("copies", wideTasks, 1, 2)
		h.mustKeepGuarantees(wideTasks, true)
	})
	t.Run("owner entry and an agent killed", func(t *testing.T) {
		h := newHarness(t, newStartWatch(startsBeforeKill))
		wait := h.submitCopies("copies", newJob("hold", wideTasks, runTime))
		h.awaitStarts()
		killBusyAgent(h)
		h.site.KillEntry(h.owner("copies"))
		answer := h.mustAgree(wait())
		must.Eq(t, specifier.Failed, answer.Outcome)
		must.True(t, answer.MayHaveRun)
		h.mustCountStarts("copies", wideTasks, 0, 1)
		h.mustKeepGuarantees(wideTasks, false)
	})
}

// Guards against jobs that get a partial, false or no answer while the controllers elect a new leader.
func TestLeaderLost(t *testing.T) {
	const jobs, tasks = 60, 4
	h := newHarness(t, newStartWatch(startsBeforeKill))
	body, err := json.Marshal(submitter.NewSubmission(newJob("hold", tasks, 200*time.Millisecond)))
	must.NoError(t, err)
	responses := make([]answerer.Response, jobs)
	var group sync.WaitGroup
	for i := range jobs {
		group.Go(func() { responses[i] = h.submitUntilAnswered(i, fmt.Sprintf("job-%d", i), body) })
	}
	h.awaitStarts()
	killLeader(h)
	// These jobs arrive while there is no leader.
	lateResponses := make([]answerer.Response, jobs)
	for i := range jobs {
		group.Go(func() { lateResponses[i] = h.submitUntilAnswered(i, fmt.Sprintf("late-%d", i), body) })
	}
	group.Wait()
	must.NoError(t, h.ctx.Err())
	for i := range jobs {
		h.mustMatchStarts(fmt.Sprintf("job-%d", i), tasks, responses[i])
		h.mustMatchStarts(fmt.Sprintf("late-%d", i), tasks, lateResponses[i])
	}
	h.mustKeepGuarantees(tasks, false)
}

// mustCompleteOnce checks that all copies got the same complete answer and that each task started once.
func mustCompleteOnce(h *harness, responses []answerer.Response) {
	h.t.Helper()
	answer := h.mustAgree(responses)
	must.Eq(h.t, specifier.Complete, answer.Outcome, must.Sprint(answer.Reason, answer.Detail))
	must.Len(h.t, wideTasks, answer.Results)
	h.mustCountStarts("copies", wideTasks, 1, 1)
	h.mustKeepGuarantees(wideTasks, false)
}

func killLeader(h *harness) {
	h.t.Helper()
	leader := 0
	leads := func() (err error) {
		leader, err = h.site.Leader(h.ctx)
		return err
	}
	must.Wait(h.t, wait.InitialSuccess(wait.ErrorFunc(leads), wait.Timeout(20*time.Second), wait.Gap(20*time.Millisecond))) // a busy machine may be electing one
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
