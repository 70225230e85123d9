package leaseholder

import "oleandertally/core/specifier"

// PollResult answers Hold.
type PollResult struct {
	Answer
	Immediate    bool // of a Hold with Look
	Token   uint64
	Refused bool
	Runs    []specifier.LeasedRun
	Ends    []specifier.RunEnd
	EndsComplete   bool // Ends holds all that were not seen
}
