package replicator

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() Index { return n.commit }

// Synced returns the index of the last entry that is durable on this server.
func (n *Node) Synced() Index { return n.synced }

// Peers returns the status of the other servers, sorted by ID, or nil if this server does not lead.
func (n *Node) Peers() []PeerStatus {
	if n.lead == nil {
		return nil
	}
	peers := make([]PeerStatus, 0, len(n.lead.peers))
	for _, each := range n.lead.peers {
		status := PeerStatus{ID: each.id, Synced: each.match, LastContact: each.ackedRoundStart}
		if status.LastContact.Before(n.lead.since) {
			status.LastContact = n.lead.since
		}
		peers = append(peers, status)
	}
	return peers
}
