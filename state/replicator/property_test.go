package replicator

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var (
	schedules = flag.Int("schedules", 10_000, "random schedules to run")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

// Every run uses the same seed unless the command line sets another one; -rapid.seed=0 draws a new seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const scheduleSteps = 500

// TestSchedules runs the same schedules every time, in shards that use several processors. It guards against every
// violation of the safety invariants and against a cluster that does not recover after faults. For a longer run with other
// seeds: go test ./state/replicator -run 'TestSchedules$' -schedules 1000000 -first-seed 100000 -timeout 0
func TestSchedules(t *testing.T) {
	const shards = 8
	for shard := range shards {
		t.Run(fmt.Sprintf("shard %d", shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < *schedules; i += shards {
				assertSchedule(t, *firstSeed+uint64(i))
			}
		})
	}
}

func assertSchedule(t *testing.T, seed uint64) {
	t.Helper()
	must.NoError(t, runSchedule(rand.New(rand.NewPCG(seed, 0)).IntN, scheduleSteps), must.Sprintf("seed %d", seed))
}

// TestScheduleShrinks draws the schedules with rapid, which reduces a failing schedule to the steps that are needed to fail.
func TestScheduleShrinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if err := runSchedule(pick, 60); err != nil {
			t.Fatal(err)
		}
	})
}
