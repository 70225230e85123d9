package replicator

import (
	"math/rand/v2"
	"time"
)

// Node is the state machine of one server. It implements looper.Machine and must be used by one goroutine only. The
// exported fields are set before the first event; Check verifies them.
type Node struct {
	Self      ServerID
	Settings  Settings
	Recovered Recovered
	Random    *rand.Rand // randomizes the election timeouts

	now              time.Time
	actions          []Action
	started          bool
	role             Role
	state            HardState
	leader           ServerID
	log              entryLog
	members          memberships
	commit           Index
	applied          Index
	leaderContact    time.Time // arrival of a leader's last message; no vote is granted for an election timeout after it
	leaderGone       bool      // the leader in state.Leader has shown that it does not lead state.LeaderTerm any more
	electionDeadline time.Time
	yieldedAt        time.Time // when this server last yielded to another one's pre-vote
	insistUntil      time.Time // until then, a server that asks for pre-votes grants none to those that should yield to it
	votes            map[ServerID]bool
	lead             *leadership // nil unless leading

	// Progress of the disk.
	lastIssued    Write // number of the last disk action
	durable       Write // number of the last durable disk action
	lastPersist   Write // number of the last Persist
	pendingWrites []logWrite
	deferred      []deferredSend
	synced        Index    // last durable entry
	snapshot      Snapshot // the newest durable snapshot
	saving        Snapshot // the snapshot that is being saved; its Index is zero if there is none
	unsavedBytes  int      // bytes of entries that were applied or truncated since the state of the newest snapshot was captured

	// State of a follower, reset for each term.
	verified     Index  // the log equals the leader's up to this entry
	acknowledged Index  // the last Match that was sent to the leader
	round        uint64 // the newest round received

	// Last state that was reported to the adapter.
	announcedLeading bool
	announcedLeader  ServerID
	membersAnnounced bool
}

// Step handles one event at time now and returns the actions to perform, in order.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.now = now
	if _, first := event.(Started); first && !n.started {
		n.start()
	}
	if !n.started {
		return nil
	}
	switch event := event.(type) {
	case Bootstrap:
		n.bootstrap(event.Servers)
	case Received:
		n.receive(event.Envelope)
	case Propose:
		n.propose(event)
	case Synced:
		n.markDurable(event.Write)
	case SnapshotSaved:
		n.snapshotSaved(event.Index)
	case SnapshotSent:
		n.snapshotSent(event)
	case AddServer:
		n.addServer(event)
	case RemoveServer:
		n.removeServer(event)
	case Transfer:
		n.startTransfer(event)
	}
	return n.finishStep()
}

// Expire handles every deadline that is due at now.
func (n *Node) Expire(now time.Time) []Action {
	if !n.started {
		return nil
	}
	n.now = now
	switch {
	case n.role == Leader:
		n.expireLeader()
	case !n.electionDeadline.After(now):
		n.startPreVote()
	}
	return n.finishStep()
}

// Next returns the earliest deadline, or the zero time when there is none.
func (n *Node) Next() time.Time {
	switch {
	case !n.started:
		return time.Time{}
	case n.role == Leader:
		return n.nextLeader()
	case n.mayCampaign():
		return n.electionDeadline
	}
	return time.Time{}
}

// Leading reports whether this server may answer as leader at now: it leads, has applied every entry of earlier terms, and
// a majority acknowledged it within the lease.
func (n *Node) Leading(now time.Time) bool { return n.ready() && now.Before(n.leaseEnd(now)) }

// Role returns the server's role in the current term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() Term { return n.state.Term }

// Leader returns the leader of the term, or zero while it is unknown.
func (n *Node) Leader() ServerID { return n.leader }

// Applied returns the index of the last entry that was emitted with Apply or covered by a snapshot.
func (n *Node) Applied() Index { return n.applied }

// Servers returns the current servers, sorted by ID. The result must not be modified.
func (n *Node) Servers() []Server { return n.members.current().servers }

// finishStep does the work that the handled event made possible and returns all actions of the step.
func (n *Node) finishStep() []Action {
	if n.role == Leader {
		n.appendProposals()
		n.advanceCommit()
	}
	n.apply()
	n.saveSnapshot()
	if n.role == Leader {
		n.continueChange()
	}
	if n.role == Leader {
		n.continueTransfer()
	}
	if n.role == Leader {
		n.replicate()
	}
	n.acknowledge()
	n.announce()
	actions := n.actions
	n.actions = nil
	return actions
}

func (n *Node) emit(action Action) { n.actions = append(n.actions, action) }

// send sends a message of the current term without waiting for the disk.
func (n *Node) send(to ServerID, message Message) {
	n.emit(Send{Envelope{From: n.Self, To: to, Term: n.state.Term, Message: message}})
}

// sendWhenDurable sends a message of the given term once the current term and vote are durable. If a crash could revoke
// a vote after it was sent, two leaders could count it.
func (n *Node) sendWhenDurable(to ServerID, term Term, message Message) {
	envelope := Envelope{From: n.Self, To: to, Term: term, Message: message}
	if n.lastPersist <= n.durable {
		n.emit(Send{envelope})
		return
	}
	n.deferred = append(n.deferred, deferredSend{write: n.lastPersist, envelope: envelope})
}

// announce reports changes of leader and members to the adapter.
func (n *Node) announce() {
	if !n.membersAnnounced {
		n.membersAnnounced = true
		n.emit(MembershipChanged{Servers: n.members.current().servers})
	}
	leading := n.ready()
	switch {
	case leading && !n.announcedLeading:
		n.emit(BecameLeader{Term: n.state.Term})
	case !leading && (n.announcedLeading || n.leader != n.announcedLeader) && n.role != Leader:
		n.emit(BecameFollower{Term: n.state.Term, Leader: n.leader})
	}
	n.announcedLeading, n.announcedLeader = leading, n.leader
}
