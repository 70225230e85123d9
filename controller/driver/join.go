package driver

import "oleandertally/state/replicator"

// Join asks the leader to make Server a voter. It is idempotent.
type Join struct {
	Ticket replicator.Ticket
	Server replicator.Server
}
