package coordinator

import (
	"time"

	"oleandertally/core/specifier"
)

// SharesGranted carries the slots that this entry may use for each team until a time on its clock.
type SharesGranted struct {
	Until  time.Time
	Shares []specifier.ServiceShare
}

func (SharesGranted) event() {}
