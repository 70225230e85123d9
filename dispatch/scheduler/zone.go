package scheduler

import "oleandertally/core/container"

// zone contains the agents of one service in one availability zone.
type zone struct {
	name         string
	index        [laneCount]container.Levels[*agent]
	slots        int
	longAssigned int // tasks of this entry in the long lane that are assigned to agents of the zone
}
