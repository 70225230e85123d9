package scheduler

import "oleandertally/dispatch/classifier"

// lane separates work that may take any slot from work that may take only a share of them.
type lane uint8

const (
	free    lane = iota // short work
	limited             // work above the Short class
	lanes
)

func laneOf(class classifier.Class) lane {
	if class == classifier.Short {
		return free
	}
	return limited
}
