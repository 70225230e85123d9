package driver

import "oleandertally/state/replicator"

// Join asks that Server becomes a voter. It is idempotent.
type Join struct {
	Ticket replicator.Ticket
	Server replicator.Server
}
