package scheduler

import "time"

// headroom tracks how many slots the short work of this entry needs, so that long work gives way before
// short work waits: a long task that has started keeps its slot for many times as long as a short one.
type headroom struct {
	need float64 // slots, averaged
	at   time.Time
}

const (
	// needPeriod is the time over which the need is averaged: several jobs of average work, less than the
	// run time of the long tasks that have to end before slots come back.
	needPeriod = 5 * time.Second
	// needFactor is what short work needs over its average in order not to wait: it keeps the slots that are
	// left to it loaded to about 75%.
	needFactor = 1.35
	// minLongShare is what long work may hold of this entry's part however much short work there is.
	minLongShare = 0.1
)

// observe notes the tasks in the short lane that are held now.
func (h *headroom) observe(now time.Time, held int) {
	share := min(float64(now.Sub(h.at))/float64(needPeriod), 1)
	h.need += share * (float64(held) - h.need)
	h.at = now
}

// limit returns how many of slots slots, this entry's part, long work may hold.
func (h *headroom) limit(slots, share float64) float64 {
	return max(min(slots-needFactor*h.need, share*slots), minLongShare*slots, 1)
}
