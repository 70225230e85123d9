package requester

import "oleandertally/core/specifier"

// answer is the outcome of a call.
type answer struct {
	reply specifier.QueueReply
	err   error
}
