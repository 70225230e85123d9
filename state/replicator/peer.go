package replicator

import "time"

// peer is the leader's replication state for another server.
type peer struct {
	id              ServerID
	state           peerState
	match           Index     // last entry that is synced on the peer and equal to the leader's
	next            Index     // next entry to send
	inflight        []Index   // while streaming: the last index of each unacknowledged message
	paused          bool      // while probing: no probe is sent until the next heartbeat
	snapshotIndex   Index     // while snapshotting: index of the snapshot that is being sent
	ackedRoundStart time.Time // start of the newest round that the peer acknowledged
}

// probe switches to one message at a time, starting at next.
func (p *peer) probe(next Index) {
	p.state, p.next, p.inflight, p.paused = probing, max(next, p.match+1), nil, false
}

// acknowledge records that the peer holds the log up to match.
func (p *peer) acknowledge(match Index) {
	p.match = max(p.match, match)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	p.next = max(p.next, p.match+1)
	if p.state == probing || p.state == snapshotting && p.match >= p.snapshotIndex {
		p.state, p.inflight = streaming, nil
	}
}
