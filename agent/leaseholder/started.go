package leaseholder

import "oleandertally/core/specifier"

// Started answers Start.
type Started struct {
	Answer
	Key     specifier.RunKey
	Refused bool
	Kind     specifier.EndKind // when refused
}
