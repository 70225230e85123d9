package simulator

import (
	"flag"
	"fmt"
	"testing"
)

var (
	schedules = flag.Uint64("queue-schedules", 300, "random schedules of the queues to run")
	firstSeed = flag.Uint64("queue-first-seed", 1, "seed of the first schedule")
)

// Guards against a task that runs twice, a worker over its capacity, a start after an acknowledged end, a refused job that ran,
// a job that is never answered or never ends, and a start in a zone between the acknowledgement of its evacuation and the withdrawal.
// Leaders, agents and workers fail meanwhile, and calls are carried out late.
func TestQueueGuarantees(t *testing.T) { runSchedules(t, (*world).scheduleWithEvacuations) }

// failedSeeds maps the seed of each schedule that once failed to the fault that it revealed.
var failedSeeds = map[uint64]string{
	20891: "two leaders counted the same failure of a run, and the recorded end of one run made the worker delete that of another",
}

// Guards against regressions: each of these schedules, which have no evacuations, once revealed a fault.
func TestFailedSchedules(t *testing.T) {
	for seed := range failedSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, seed, (*world).schedule) })
	}
}

// Guards against a task of a cancelled job that runs on because the order to stop it was lost: its agent was restarted or away, its stream
// broke, or another controller led by then.
func TestCancelledJobsStop(t *testing.T) { runSchedules(t, (*world).scheduleCancellations) }

// Guards against a cancellation that is denied, or acknowledged and not carried out, because the job's queue was removed and the prefix of
// another queue matches its path.
func TestCancelledJobsOfARemovedQueueStop(t *testing.T) {
	runSchedules(t, (*world).scheduleRemovedQueue)
}

// Guards against a task that is started again because the worker had no room for its end in a list, and against a job that stands still
// because the ends beyond the first list are never asked for.
func TestEndsInPages(t *testing.T) { runSchedules(t, (*world).scheduleWideJobs) }

// runSchedules runs the schedules that the flags ask for, each as a subtest.
func runSchedules(t *testing.T, add func(*world)) {
	t.Helper()
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, seed, add) })
	}
}

// runSchedule runs one schedule of callers and faults, first with faults, then without, and checks the guarantees.
func runSchedule(t *testing.T, seed uint64, add func(*world)) {
	t.Helper()
	w := newWorld(t, seed)
	add(w)
	w.run(w.now.Add(faultTime))
	w.faultsEnabled = false
	w.run(w.now.Add(settleTime))
	w.mustKeepGuarantees()
}
