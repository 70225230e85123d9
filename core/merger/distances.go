package merger

import "time"

// distances holds the length of the shortest path of bounds from one process to each other process. known is false for
// a process that no path reaches.
type distances struct {
	length []time.Duration
	known  []bool
}

// shortestDistances returns the distances from start over count processes, by the Bellman-Ford algorithm. It returns
// false when the bounds contradict each other, which means that a clock was set during the span or that events are
// missing.
func shortestDistances(count, start int, bounds []bound) (distances, bool) {
	d := distances{length: make([]time.Duration, count), known: make([]bool, count)}
	d.known[start] = true
	for range count {
		changed := false
		for _, b := range bounds {
			if !d.known[b.from] {
				continue
			}
			length := d.length[b.from] + b.maxAhead
			if !d.known[b.to] || length < d.length[b.to] {
				d.known[b.to], d.length[b.to], changed = true, length, true
			}
		}
		if !changed {
			return d, true
		}
	}
	return d, false
}
