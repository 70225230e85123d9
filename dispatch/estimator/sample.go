package estimator

import (
	"math"
	"time"
)

// Sample is the time that a run took, or has taken so far.
type Sample[W, Q comparable] struct {
	Worker   W
	Queue    Q
	Declared time.Duration // estimate that the caller declared
	Took     time.Duration // from the order to start until the report of the end
	Factor   float64       // known cost of the run, such as that of remote data; 0 for none
	Cold     bool          // the worker said at the start that it was cold
}

const (
	// messageTime is the part of a run's time that messages take. Without it, the worker that gets short tasks seems slow.
	messageTime = 4 * time.Millisecond
	// maxMessageShare bounds the part of a run's time that counts as messages.
	maxMessageShare = 0.5
	// maxLog bounds the logarithm of a ratio, so that a wrong unit in an estimate or a stalled run has no unbounded effect.
	maxLog = 3
)

// logRatio returns the logarithm of the run time over the declared estimate, without messages and known costs, and whether the
// sample has one.
func (s Sample[W, Q]) logRatio() (float64, bool) {
	if s.Declared <= 0 || s.Took <= 0 {
		return 0, false
	}
	took := max(float64(s.Took-messageTime), (1-maxMessageShare)*float64(s.Took))
	ratio := took / float64(s.Declared)
	if s.Factor > 0 {
		ratio /= s.Factor
	}
	return max(min(math.Log(ratio), maxLog), -maxLog), true
}
