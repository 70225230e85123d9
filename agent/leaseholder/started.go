package leaseholder

import "oleandertally/core/specifier"

// Started is the answer to Start.
type Started struct {
	Answer
	Key     specifier.RunKey
	Refused bool
	Kind    specifier.EndKind // why the start was refused
}
