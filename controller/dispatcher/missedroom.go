package dispatcher

import "oleandertally/core/specifier"

// missedRoom is what a task needed that fitted nowhere.
type missedRoom struct {
	pool string
	room specifier.Resources
}
