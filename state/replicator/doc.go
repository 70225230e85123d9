// Package replicator implements the consensus of the controllers: a replicated log as a pure state machine.
//
// An adapter owns one Node, sets its exported fields from the data folder and the settings, calls
// Check, and runs the node as a looper.Machine. The first event is Started:
//
//	node := &replicator.Node{Self: self, Settings: replicator.Defaults(), Recovered: recovered, Random: random}
//	if err := node.Check(); err != nil { ... }
//	loop := looper.Loop[replicator.Event, replicator.Action]{Machine: node, Mailbox: mailbox, Perform: perform, Clock: time.Now}
//	mailbox.Send(ctx, replicator.Started{})
//
// Perform handles the actions in the order in which they are returned and never blocks:
//
//   - Persist, Truncate, Append, Restore and Compact go to the single disk goroutine, which handles them in order. The
//     actions that carry a Write are numbered without gaps. The goroutine may sync many writes together; after each
//     sync it sends Synced with the number of the last write that the sync covers. The node defers messages that
//     depend on a write, so Send never waits for the disk.
//   - Send goes to the stream of the peer. Messages may be lost, delayed, duplicated and reordered.
//   - SendSnapshot streams the snapshot file to the peer on a separate goroutine, and SnapshotSent reports the end.
//     The receiver first stores the file durably and then delivers the InstallSnapshot as Received. Restore makes the
//     receiver load the file; a received file without a Restore is discarded, and Recovered does not report it. Restore
//     replaces the snapshot and then resets the log; if a crash interrupts it in between, the node emits Restore again
//     at the next start.
//   - Apply runs on the control goroutine: the adapter applies the committed entries to the state. It recognizes its own
//     proposals by the index and term that Proposed reported, and answers them.
//   - SaveSnapshot captures the state as it is at that moment and writes it outside the control goroutine; SnapshotSaved
//     reports that the file is durable.
//   - BecameLeader reports that every earlier entry is applied. The adapter calls Leading(now) before it answers any
//     request as leader. After BecameFollower, the outcome of proposals that were reported as Proposed and not yet
//     applied is unknown.
//
// A cluster starts with one Bootstrap on a server whose data folder is new; the others join with AddServer.
// A data folder gets a random disk identity when it is created. A host that returns with an empty disk is therefore
// a different server: it joins with AddServer, with Replaces set to its former identity.
package replicator
