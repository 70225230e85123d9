package ejector

// SlidingWindow trips when failures make up half of the last outcomes and their weights reach the threshold.
// It also finds a worker that fails every other task, which Consecutive never does.
type SlidingWindow struct {
	outcomes [windowSize]uint8
	next     int
	count    int
	last     int
}

// windowSize is enough to hold the outcomes of two rounds of 8 slots.
const windowSize = 16

// Record implements Breaker.
func (s *SlidingWindow) Record(weight, threshold int) bool {
	s.outcomes[s.next] = uint8(weight)
	s.next = (s.next + 1) % windowSize
	s.count = min(s.count+1, windowSize)
	s.last = weight
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
func (s *SlidingWindow) LastFailed() bool { return s.last > 0 }

// Reset implements Breaker.
func (s *SlidingWindow) Reset() { *s = SlidingWindow{} }
