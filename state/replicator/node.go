package replicator

import (
	"math/rand/v2"
	"time"
)

// Node is one server. It implements looper.Machine and is used by one goroutine. Exported fields are set
// before the first event; Check verifies them.
type Node struct {
	Self      ServerID
	Settings  Settings
	Recovered Recovered
	Random    *rand.Rand // spreads the election timeouts

	now           time.Time
	actions       []Action
	started       bool
	role          Role
	state         HardState
	leader        ServerID
	log           entryLog
	members       memberships
	commit        Index
	applied       Index
	leaderContact time.Time // when a leader's last message arrived; within an election timeout of it no vote is given
	electionAt    time.Time
	votes         map[ServerID]bool
	lead          *leadership // nil unless leading

	// Disk.
	lastIssued  Write // last number given to a disk action
	durable     Write
	lastPersist Write // the last Persist
	writes      []logWrite
	deferred    []deferredSend
	synced      Index
	snapshot    Snapshot // the newest durable one
	saving      Snapshot // Index is zero unless one is being saved

	// Following, reset for each term.
	verified     Index // the log equals the leader's up to here
	acknowledged Index // what the leader was told
	round        uint64

	// What the adapter was told.
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
	case !n.electionAt.After(now):
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
		return n.electionAt
	}
	return time.Time{}
}

// Leading reports whether this server may answer as leader at now: it leads, has applied every earlier entry, and
// a majority acknowledged it within the lease.
func (n *Node) Leading(now time.Time) bool { return n.ready() && now.Before(n.leaseEnd(now)) }

// Role returns what the server does in its term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() Term { return n.state.Term }

// Leader returns the leader of the term, or zero while it is unknown.
func (n *Node) Leader() ServerID { return n.leader }

// Applied returns the index of the last entry handed over for application.
func (n *Node) Applied() Index { return n.applied }

// Servers returns the servers in force, sorted by ID. The caller does not modify it.
func (n *Node) Servers() []Server { return n.members.current().servers }

// settle does what the handled event made possible and returns all actions.
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

// send sends a message at once.
func (n *Node) send(to ServerID, message Message) {
	n.emit(Send{Envelope{From: n.Self, To: to, Term: n.state.Term, Message: message}})
}

// reply sends a message of the given term once the term and vote are durable: a promise that a crash can take
// back would let two leaders count it.
func (n *Node) sendWhenDurable(to ServerID, term Term, message Message) {
	envelope := Envelope{From: n.Self, To: to, Term: term, Message: message}
	if n.lastPersist <= n.durable {
		n.emit(Send{envelope})
		return
	}
	n.deferred = append(n.deferred, deferredSend{write: n.lastPersist, envelope: envelope})
}

// announce tells the adapter about changes of leader and members.
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
