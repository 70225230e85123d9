package replicator

import "time"

// peer is what a leader knows of another server.
type peer struct {
	id              ServerID
	state           peerState
	match           Index     // synced there and equal to the leader's log
	next            Index     // first entry to send
	inflight        []Index   // while streaming: the last index of each unacknowledged message
	paused          bool      // while probing: a probe is under way
	snapshotIndex   Index     // while snapshotting: what is being sent
	ackedRoundStart time.Time // start of the newest round that the peer acknowledged
}

// probe goes back to one message at a time from next.
func (p *peer) probe(next Index) {
	p.state, p.next, p.inflight, p.paused = probing, max(next, p.match+1), nil, false
}

// acknowledge notes that the peer holds the log up to match.
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
