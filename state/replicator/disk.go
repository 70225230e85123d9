package replicator

import (
	"time"

	"github.com/cockroachdb/errors"
)

func (n *Node) nextWrite() Write {
	n.lastIssued++
	return n.lastIssued
}

func (n *Node) persist() {
	n.lastPersist = n.nextWrite()
	n.emit(Persist{Write: n.lastPersist, State: n.state})
}

// appendEntries adds entries to the log in memory and on disk.
func (n *Node) appendEntries(entries []Entry) {
	n.log.append(entries...)
	if n.members.add(entries) {
		n.membersChanged()
	}
	write := n.nextWrite()
	n.pendingWrites = append(n.pendingWrites, logWrite{write: write, last: n.log.last(), issuedAt: n.now})
	n.emit(Append{Write: write, Entries: entries})
}

// truncate removes the entry at from and all later ones. Pending writes no longer mark the removed entries as synced.
func (n *Node) truncate(from Index) {
	if from <= n.commit {
		panic(errors.AssertionFailedf("log conflicts at index %d, committed up to %d", from, n.commit))
	}
	n.unsavedBytes += n.log.truncate(from) // the journal holds the removed entries until it is compacted
	if n.members.truncate(from) {
		n.membersChanged()
	}
	n.synced = min(n.synced, from-1)
	for i := range n.pendingWrites {
		n.pendingWrites[i].last = min(n.pendingWrites[i].last, from-1)
	}
	n.emit(Truncate{Write: n.nextWrite(), From: from})
}

// restore replaces the whole log by a snapshot.
func (n *Node) restore(snapshot Snapshot) {
	n.log.reset(snapshot.Index, snapshot.Term)
	n.members.reset(snapshot)
	n.membersChanged()
	n.snapshot, n.saving = snapshot, Snapshot{}
	n.commit, n.applied, n.unsavedBytes = snapshot.Index, snapshot.Index, 0
	n.synced = 0
	write := n.nextWrite()
	n.pendingWrites = []logWrite{{write: write, last: snapshot.Index, issuedAt: n.now}}
	n.emit(Restore{Write: write, Snapshot: snapshot})
}

// markDurable records that the disk actions up to write are durable, and sends the messages that waited for them.
func (n *Node) markDurable(write Write) {
	n.durable = max(n.durable, min(write, n.lastIssued))
	for len(n.pendingWrites) > 0 && n.pendingWrites[0].write <= n.durable {
		n.synced = n.pendingWrites[0].last
		n.pendingWrites = n.pendingWrites[1:]
	}
	for len(n.deferred) > 0 && n.deferred[0].write <= n.durable {
		n.emit(Send{n.deferred[0].envelope})
		n.deferred = n.deferred[1:]
	}
	if n.role == Candidate && n.lastPersist <= n.durable {
		n.countVote(n.Self)
	}
}

// apply emits committed entries. A snapshot must not be ahead of the stored log, so once a snapshot is due, apply emits
// only entries that are synced.
func (n *Node) apply() {
	limit := n.commit
	if n.snapshotDue() {
		limit = min(limit, max(n.synced, n.applied))
	}
	if limit > n.applied {
		entries := n.log.slice(n.applied+1, limit)
		n.emit(Apply{Entries: entries})
		n.applied = limit
		n.unsavedBytes += sizeOf(entries)
	}
}

func (n *Node) snapshotDue() bool {
	if n.saving.Index != 0 || n.applied == n.snapshot.Index {
		return false
	}
	return n.applied >= n.snapshot.Index+Index(n.Settings.SnapshotEvery) || n.unsavedBytes >= n.Settings.SnapshotBytes
}

func (n *Node) saveSnapshot() {
	if !n.snapshotDue() || n.synced < n.applied {
		return
	}
	term, _ := n.log.term(n.applied)
	n.saving = Snapshot{Index: n.applied, Term: term, Servers: n.members.serversAt(n.applied)}
	n.unsavedBytes = 0
	n.emit(SaveSnapshot{Snapshot: n.saving})
}

func (n *Node) snapshotSaved(index Index) {
	if n.saving.Index == 0 || index != n.saving.Index {
		return
	}
	n.snapshot, n.saving = n.saving, Snapshot{}
	if n.role == Leader {
		n.lead.fullSince = time.Time{}
	}
	through := n.log.keep(index, n.Settings.KeepEntries, n.Settings.KeepBytes)
	if through <= n.log.base {
		return
	}
	n.log.compact(through)
	n.members.compact(through)
	n.emit(Compact{Through: through})
}
