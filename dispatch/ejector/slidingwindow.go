package ejector

// SlidingWindow trips when at least half of the last outcomes are failures and their total weight reaches the threshold.
// Unlike Consecutive, SlidingWindow also detects a worker that fails every other task.
type SlidingWindow struct {
	outcomes   [windowSize]uint8
	next       int
	count      int
	lastWeight int
}

// windowSize covers two tasks for each of 8 slots.
const windowSize = 16

// Record implements Breaker.
func (s *SlidingWindow) Record(weight, threshold int) bool {
	s.outcomes[s.next] = uint8(weight)
	s.next = (s.next + 1) % windowSize
	s.count = min(s.count+1, windowSize)
	s.lastWeight = weight
	total, failures := 0, 0
	for _, each := range s.outcomes[:s.count] {
		total += int(each)
		if each > 0 {
			failures++
		}
	}
	return weight > 0 && total >= threshold && 2*failures >= s.count
}

// LastFailed implements Breaker.
func (s *SlidingWindow) LastFailed() bool { return s.lastWeight > 0 }

// Reset implements Breaker.
func (s *SlidingWindow) Reset() { *s = SlidingWindow{} }
