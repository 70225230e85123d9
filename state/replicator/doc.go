// Package replicator is the consensus of the controllers: a replicated log as a pure state machine.
//
// An adapter owns one Node, sets its exported fields from the data folder and the settings, calls
// Check, and runs it as a looper.Machine. The first event is Started:
//
//	node := &replicator.Node{Self: self, Settings: replicator.Defaults(), Recovered: recovered, Random: random}
//	if err := node.Check(); err != nil { ... }
//	loop := looper.Loop[replicator.Event, replicator.Action]{Machine: node, Mailbox: mailbox, Perform: perform, Clock: time.Now}
//	mailbox.Send(ctx, replicator.Started{})
//
// Perform handles the actions in the order in which they are returned and never blocks:
//
//   - Persist, Truncate, Append, Restore and Compact go to the one disk goroutine, which handles them in order. Those
//     that carry a Write are numbered without gaps. The goroutine may sync many at once; after each sync it
//     sends Synced with the number of the last one that the sync covers. The node itself holds back
//     whatever depends on a write, so Send never waits for the disk.
//   - Send goes to the stream of the peer. Messages may be lost, delayed, doubled and reordered.
//   - SendSnapshot streams the snapshot file to the peer on a goroutine of its own, and SnapshotSent reports
//     the end. The receiver stores the file durably and only then delivers the InstallSnapshot as
//     Received; Restore tells it to load that file, and a snapshot without a Restore is dropped.
//     Until then the file is not the snapshot that Recovered reports. After a crash between the two halves of
//     a Restore, the node returns it again when it starts.
//   - Apply runs on the control goroutine: it applies committed entries to the state, and answers
//     those of its own proposals that it finds by the index and term that Proposed reported.
//   - SaveSnapshot encodes the state as it is at that moment and writes it off the control goroutine;
//     SnapshotSaved reports that the file is durable.
//   - BecameLeader says that every earlier entry is applied. Before it answers anything as leader, the
//     adapter asks Leading(now). After BecameFollower the outcome of proposals that were
//     reported as Proposed and not yet applied is unknown.
//
// A cluster begins with one Bootstrap on a server whose data folder is new; the others join with AddServer.
// A data folder gets a random disk identity when it is created. A host that comes back with an empty disk is
// therefore another server: it joins with AddServer and Replaces set to its former identity.
package replicator
