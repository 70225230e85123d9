package replicator

// refusalReason returns why the server cannot accept a request now, or "".
func (n *Node) refusalReason() Reason {
	switch {
	case n.role != Leader:
		return NotLeader
	case !n.Leading(n.now):
		return NotReady
	case !n.lead.transferDeadline.IsZero():
		return Transferring
	}
	return ""
}

func (n *Node) refuse(ticket Ticket, reason Reason) {
	n.emit(Refused{Ticket: ticket, Reason: reason, Leader: n.leader})
}

func (n *Node) propose(event Propose) {
	reason := n.refusalReason()
	switch {
	case reason != "":
	case len(event.Data) > n.Settings.MaxEntry:
		reason = TooLarge
	case n.lead.uncommittedBytes+len(event.Data) > n.Settings.MaxPending:
		reason = Full
	case n.log.bytes+n.lead.pendingBytes+len(event.Data)+entryOverhead > n.Settings.MaxLog:
		reason = Full
		if n.lead.fullSince.IsZero() {
			n.lead.fullSince = n.now
		}
	}
	if reason != "" {
		n.refuse(event.Ticket, reason)
		return
	}
	n.lead.uncommittedBytes += len(event.Data)
	n.lead.pendingBytes += len(event.Data) + entryOverhead
	n.lead.pending = append(n.lead.pending, proposal{ticket: event.Ticket, data: event.Data})
}

// appendProposals appends all proposals that arrived while the previous append was being synced, so that they share one
// write.
func (n *Node) appendProposals() {
	if len(n.lead.pending) == 0 || n.synced < n.log.last() {
		return
	}
	entries := make([]Entry, 0, len(n.lead.pending))
	for i, each := range n.lead.pending {
		index := n.log.last() + 1 + Index(i)
		entries = append(entries, Entry{Index: index, Term: n.state.Term, Kind: Data, Data: each.data})
		n.emit(Proposed{Ticket: each.ticket, Index: index, Term: n.state.Term})
	}
	n.lead.pending, n.lead.pendingBytes = nil, 0
	n.appendEntries(entries)
}
