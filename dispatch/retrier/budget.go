package retrier

// Budget limits retries to a share of first attempts, so that a fault does not multiply the load. The zero value is
// ready to use.
type Budget struct {
	tokens      float64
	initialized bool
}

const (
	// defaultRetryRatio applies to a profile that sets no ratio.
	defaultRetryRatio = 0.1
	// maxTokens is a reserve that covers the loss of one worker, its slots and look-ahead, when few first attempts
	// arrive.
	maxTokens = 11
)

// RecordFirstAttempt adds the credit of one first attempt, ratio retries. A ratio of 0 or less selects the default.
func (b *Budget) RecordFirstAttempt(ratio float64) {
	if ratio <= 0 {
		ratio = defaultRetryRatio
	}
	b.init()
	b.tokens = min(b.tokens+ratio, maxTokens)
}

// Take consumes the credit of one retry and reports whether the budget allows the retry.
func (b *Budget) Take() bool {
	b.init()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) init() {
	if !b.initialized {
		b.initialized, b.tokens = true, maxTokens
	}
}
