package leaseholder

import "oleandertally/core/specifier"

// Stopped is the answer to Stop.
type Stopped struct {
	Answer
	Key     specifier.RunKey
	Refused bool
}
