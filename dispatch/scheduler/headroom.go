package scheduler

import "time"

// headroom estimates how many slots the short work of this entry needs, so that long work is limited before short work
// has to wait. A long task that has started occupies its slot many times longer than a short task.
type headroom struct {
	need float64 // moving average, in slots
	at   time.Time
}

const (
	// needPeriod is the time over which the need is averaged. It covers several jobs of average work, and is shorter
	// than the run time of the long tasks that must end before their slots are free again.
	needPeriod = 5 * time.Second
	// needFactor is the ratio of the slots kept for short work to its average need. Short work then uses about 75% of
	// these slots and does not have to wait.
	needFactor = 1.35
	// minLongShare is the share of this entry's slots that long work may use at any load of short work.
	minLongShare = 0.1
)

// observe updates the average with the number of short tasks that are assigned to agents now.
func (h *headroom) observe(now time.Time, assigned int) {
	share := min(float64(now.Sub(h.at))/float64(needPeriod), 1)
	h.need += share * (float64(assigned) - h.need)
	h.at = now
}

// maxLong returns how many of the slots available to this entry long work may use; share is the upper limit.
func (h *headroom) maxLong(slots, share float64) float64 {
	return max(min(slots-needFactor*h.need, share*slots), minLongShare*slots, 1)
}
