package driver

import "oleandertally/core/specifier"

// Read asks for the state as operators see it, with the configuration at Revision, or the one in
// force when Revision is 0.
type Read struct {
	Ticket   uint64
	Revision specifier.Revision
}
