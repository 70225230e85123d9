package replicator

import (
	"slices"
	"time"
)

// leadership is what a server knows only while it leads.
type leadership struct {
	peers            []*peer // sorted by ID
	rounds           rounds
	since            time.Time
	heartbeatAt      time.Time
	firstIndex       Index // the blank entry of the leader's term
	pending          []proposal
	uncommittedBytes int // bytes of pending and of uncommitted entries
	transferTarget   ServerID
	transferDeadline time.Time // zero unless a transfer is under way
}

// peer returns what is known of id, or nil.
func (l *leadership) peer(id ServerID) *peer {
	for _, each := range l.peers {
		if each.id == id {
			return each
		}
	}
	return nil
}

// setServers starts to replicate to new servers, from next on, and stops for those that are gone. A new peer is taken to
// be up to date, which saves a round trip after most elections; otherwise its rejection starts the probing.
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
