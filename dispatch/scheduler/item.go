package scheduler

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/orderer"
)

// Item is a task that is to be assigned to an agent.
type Item struct {
	Key      specifier.TaskKey
	Order    orderer.Key
	Service  string // only agents of this service may run it
	Profile  string
	Team     string
	Deadline time.Time
}
