package retrier

// Budget allows retries as a share of first attempts, so that a fault does not multiply the load. The zero value
// is ready.
type Budget struct {
	tokens float64
	filled bool
}

const (
	// defaultRatio is the value of a profile that sets none.
	defaultRatio = 0.1
	// burst lets a fault at a quiet time be retried: it is one worker's slots and look-ahead.
	burst = 11
)

// RecordFirstAttempt notes a first attempt, which pays for ratio retries; 0: the default.
func (b *Budget) RecordFirstAttempt(ratio float64) {
	if ratio <= 0 {
		ratio = defaultRatio
	}
	b.fill()
	b.tokens = min(b.tokens+ratio, burst)
}

// Take pays for one retry and reports whether the budget allows it.
func (b *Budget) Take() bool {
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) fill() {
	if !b.filled {
		b.filled, b.tokens = true, burst
	}
}
