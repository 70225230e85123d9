package leaseholder

import "oleandertally/core/specifier"

// PollResult is the answer to Poll.
type PollResult struct {
	Answer
	Immediate    bool // copied from the Poll
	Token        uint64
	Refused      bool
	Runs         []specifier.LeasedRun
	Ends         []specifier.RunEnd
	Completeness Completeness
}
