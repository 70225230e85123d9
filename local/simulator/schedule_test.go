package simulator

import (
	"flag"
	"fmt"
	"testing"
)

var (
	schedules = flag.Uint64("queue-schedules", 300, "random schedules of the queues to play")
	firstSeed = flag.Uint64("queue-first-seed", 1, "seed of the first one")
)

// Guards against a task that runs twice, a worker over its capacity, a start after an end was noted, a refused job that ran,
// and a job that is never answered or never ends, under lost leaders, agents and workers, and calls that are carried out late.
func TestQueuesHold(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}

// failedSeeds are schedules that failed once, with the fault behind each.
var failedSeeds = map[uint64]string{
	20891: "two leaders counted one failure of a run, and the record of one run's end let the worker forget another's",
}

// Guards against the return of a fault that a schedule showed.
func TestFailedSchedules(t *testing.T) {
	for seed := range failedSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}

// play plays one schedule: faults, then time without them, then the check.
func play(t *testing.T, seed uint64) {
	t.Helper()
	w := newWorld(t, seed)
	w.begin()
	w.run(w.now.Add(faultTime))
	w.faults = false
	w.run(w.now.Add(settleTime))
	w.mustHold()
}
