package replicator

import (
	"slices"
	"time"
)

// leadership is the state that a server keeps only while it leads.
type leadership struct {
	peers            []*peer // sorted by ID
	rounds           rounds
	since            time.Time // start of the leadership
	heartbeatAt      time.Time
	firstIndex       Index // index of the blank entry of the leader's term
	pending          []proposal
	pendingBytes     int       // size of the pending proposals
	fullSince        time.Time // when the first proposal was refused because the log waits for a snapshot; zero if it does not wait
	uncommittedBytes int       // size of the pending proposals and the uncommitted entries
	transferTarget   ServerID
	transferDeadline time.Time // zero unless a transfer is in progress
}

// peer returns the replication state of id, or nil.
func (l *leadership) peer(id ServerID) *peer {
	for _, each := range l.peers {
		if each.id == id {
			return each
		}
	}
	return nil
}

// setServers adds a peer for each new server, with next as the first entry to send, and drops the peers that are no longer
// listed. A new peer is assumed to be up to date, which saves a round trip after most elections; if it is not, its
// rejection starts the probing.
func (l *leadership) setServers(servers []Server, self ServerID, next Index) {
	var peers []*peer
	for _, server := range servers {
		if server.ID == self {
			continue
		}
		known := l.peer(server.ID)
		if known == nil {
			known = &peer{id: server.ID, state: streaming, next: next}
		}
		peers = append(peers, known)
	}
	slices.SortFunc(peers, func(a, b *peer) int { return a.id.Compare(b.id) })
	l.peers = peers
}
