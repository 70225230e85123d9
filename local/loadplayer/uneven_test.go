package loadplayer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/controller/dispatcher"
)

// unevenSeeds is the number of plays over which a share is averaged.
const unevenSeeds = 3

// meanInTime returns the mean share within the objective, with what the dispatcher learns or with the true speeds and run times.
func meanInTime(t *testing.T, scenario Scenario, known bool) float64 {
	t.Helper()
	total := 0.0
	for seed := range unevenSeeds {
		player := &Player{Scenario: scenario, Seed: uint64(seed + 1), Settings: dispatcher.Defaults(), KnowsSpeeds: known, KnowsTimes: known}
		report, err := player.Run(t.Context())
		must.NoError(t, err)
		total += report.InTime() / unevenSeeds
	}
	return total
}

// TestUneven guards against a placement that takes a queue's error of estimate, a remote run or a fault for the speed of a worker, and
// against one that is late because of one slow worker. Without the estimates learned apart, the shares are 0.04 to 0.1 less.
func TestUneven(t *testing.T) {
	for _, name := range []string{"meters-uneven", "meters-rack", "meters-slow", "admissions-uneven", "admissions-rack", "admissions-slow"} {
		t.Run(name, func(t *testing.T) {
			scenario := mustScenario(t, name)
			must.Greater(t, meanInTime(t, scenario, true)-noise, meanInTime(t, scenario, false))
		})
	}
}

// TestHotRack guards against a hot rack whose tasks run elsewhere at twice the cost while all workers are full. Without the choice by
// the time left, 0.65 are in time.
func TestHotRack(t *testing.T) {
	must.Greater(t, 0.75, meanInTime(t, mustScenario(t, "meters-rack"), false))
}

// TestWarmPool guards against estimates that drift apart while the process runs, so that the second minute is served worse.
func TestWarmPool(t *testing.T) {
	scenario := mustScenario(t, "admissions-uneven")
	scenario.Span, scenario.Wave.Swing = time.Minute, 0.1
	report := mustPlay(t, scenario, nil)
	first, last := Result{}, Result{}
	for at, window := range report.Windows {
		half := &first
		if at >= len(report.Windows)/2 {
			half = &last
		}
		half.Weight, half.Earned = half.Weight+window.Weight, half.Earned+window.Earned
	}
	must.Greater(t, first.Share()-noise, last.Share())
}
