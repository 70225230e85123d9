package coordinator

import (
	"time"

	"oleandertally/core/specifier"
)

// Assign sends a task to an agent. Order (the time by which tasks are ordered) and Deadline are on this entry's
// clock; they are sent as an age and as the time left.
type Assign struct {
	Agent    specifier.Identity
	Key      specifier.TaskKey
	Epoch    specifier.Epoch
	Payload  []byte
	Order    time.Time
	Deadline time.Time
	Profile  string
}

func (Assign) action() {}
