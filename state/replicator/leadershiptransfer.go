package replicator

func (n *Node) startTransfer(event Transfer) {
	reason, target := n.refusalReason(), event.To
	if reason == "" {
		if target.IsZero() {
			target = n.bestSuccessor()
		}
		if target == n.Self || !n.members.current().isVoter(target) {
			reason = UnknownServer
		}
	}
	if reason != "" {
		n.refuse(event.Ticket, reason)
		return
	}
	n.lead.transferTarget, n.lead.transferDeadline = target, n.now.Add(n.Settings.ElectionTimeout)
}

// bestSuccessor returns the responsive voter that holds most of the log, or zero if no other voter is responsive.
func (n *Node) bestSuccessor() ServerID {
	var best *peer
	for _, peer := range n.lead.peers {
		if n.members.current().isVoter(peer.id) && n.responsive(peer) && (best == nil || peer.match > best.match) {
			best = peer
		}
	}
	if best == nil {
		return ServerID{}
	}
	return best.id
}

func (n *Node) continueTransfer() {
	if n.lead.transferDeadline.IsZero() || len(n.lead.pending) > 0 {
		return
	}
	if peer := n.lead.peer(n.lead.transferTarget); peer != nil && peer.match == n.log.last() {
		n.transferLeadership(peer.id)
	}
}

// transferLeadership sends TimeoutNow to target, if there is one, and steps down in the same step. The lease ends permanently
// before the message leaves, because a delayed TimeoutNow must not elect a second leader while this one still answers.
func (n *Node) transferLeadership(target ServerID) {
	if !target.IsZero() {
		n.send(target, TimeoutNow{})
	}
	n.stepDown(ServerID{})
}
