package loadplayer

import (
	"time"

	"oleandertally/core/specifier"
)

// run is a task at work.
type run struct {
	key       specifier.RunKey
	request   *request
	startedAt time.Time
}
