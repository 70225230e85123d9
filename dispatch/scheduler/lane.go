package scheduler

import "oleandertally/dispatch/classifier"

// lane separates work that may use any slot from work that may use only a share of the slots.
type lane uint8

const (
	shortLane lane = iota // short work
	longLane              // work above the Short class
	laneCount
)

func laneOf(class classifier.Class) lane {
	if class == classifier.Short {
		return shortLane
	}
	return longLane
}
