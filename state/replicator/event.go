package replicator

// Event is an input of Node.Step: Started, Bootstrap, Received, Propose, Synced, SnapshotSaved, SnapshotSent,
// AddServer, RemoveServer or Transfer.
type Event interface{ event() }
