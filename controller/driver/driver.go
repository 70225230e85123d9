package driver

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"oleandertally/controller/dispatcher"
	"oleandertally/controller/sequencer"
	"oleandertally/core/encoder"
	"oleandertally/core/operator"
	"oleandertally/core/specifier"
	"oleandertally/state/replicator"
)

// joinTicketBase is added to the tickets of Join requests, to tell them from the sequencer's tickets.
const joinTicketBase = 1 << 62

// Driver is the control state of a controller. Exported fields are set before the first Step.
type Driver struct {
	Node       *replicator.Node
	Sequencer  *sequencer.Sequencer
	Dispatcher *dispatcher.Dispatcher
	// Fault is called with an error that the controller can't continue after, such as a committed batch or
	// a snapshot that can't be decoded.
	Fault func(error)
	// AllowedNames are the names of the controllers that may join; nil allows any.
	AllowedNames []string
	// MinVoters is how many voters the log must have before the queues accept anything, so that acknowledged jobs and manifests
	// survive the losses that the site is designed for.
	MinVoters int
	// VoterTimeout is how long a voter may be unreachable before it is removed while there are more than MinVoters; 0 for never.
	// A learner is removed after the same time.
	VoterTimeout time.Duration
	Zone         string // zone of this controller, shown to operators

	history          operator.History
	historyRevision  specifier.Revision          // newest revision in history
	servers          []replicator.Server         // servers of the configuration in force
	leader           netip.AddrPort              // zero while unknown or while this controller leads
	receivedSnapshot map[replicator.Index][]byte // content of the snapshot in the present event, by its index
	transfers        []uint64                    // tickets of TransferLeadership requests that are not answered
	proposedCommands map[replicator.Ticket]specifier.QueueCommand
	lastQueueTicket  replicator.Ticket
	pruneAt          time.Time
	actions          []Action
}

// Step handles one event.
func (d *Driver) Step(now time.Time, event Event) []Action {
	d.actions = nil
	switch {
	case event.Log != nil:
		d.keepSnapshotContent(event)
		d.perform(now, d.Node.Step(now, event.Log))
	case event.Queue != nil:
		d.queue(now, d.Dispatcher.Step(now, event.Queue))
	case event.Join != nil:
		d.join(now, *event.Join)
	case event.Read != nil:
		d.read(now, *event.Read)
	case event.TransferLeadership != nil:
		d.transferLeadership(now, *event.TransferLeadership)
	case event.Measure != nil:
		d.measure(now, *event.Measure)
	default:
		d.control(now, d.Sequencer.Step(now, event.Control))
	}
	return d.actions
}

// Expire handles the deadlines that are due.
func (d *Driver) Expire(now time.Time) []Action {
	d.actions = nil
	if next := d.Node.Next(); !next.IsZero() && !next.After(now) {
		d.perform(now, d.Node.Expire(now))
	}
	if next := d.Sequencer.Next(); !next.IsZero() && !next.After(now) {
		d.control(now, d.Sequencer.Expire(now))
	}
	if next := d.Dispatcher.Next(); !next.IsZero() && !next.After(now) {
		d.queue(now, d.Dispatcher.Expire(now))
	}
	if !d.pruneAt.IsZero() && !d.pruneAt.After(now) {
		d.prune(now)
	}
	return d.actions
}

// Next returns the earliest deadline.
func (d *Driver) Next() time.Time {
	var first time.Time
	for _, next := range []time.Time{d.Node.Next(), d.Sequencer.Next(), d.Dispatcher.Next(), d.pruneAt} {
		if first.IsZero() || !next.IsZero() && next.Before(first) {
			first = next
		}
	}
	return first
}

// addrOf returns the address of a server in force, or the zero address.
func (d *Driver) addrOf(id replicator.ServerID) netip.AddrPort {
	for _, server := range d.servers {
		if server.ID == id {
			return server.Addr
		}
	}
	return netip.AddrPort{}
}

// join adds a server to the log. It replaces a voter of the same name with another disk ID, whose disk is lost.
func (d *Driver) join(now time.Time, request Join) {
	answer := JoinAnswered{Ticket: request.Ticket}
	if !d.Node.Leading(now) {
		answer.Leader, answer.Detail = d.leader, "this controller does not lead"
		d.actions = append(d.actions, Action{Joined: &answer})
		return
	}
	if d.AllowedNames != nil && !slices.Contains(d.AllowedNames, request.Server.ID.Name) {
		answer.Detail = "this name is not in the leader's settings"
		d.actions = append(d.actions, Action{Joined: &answer})
		return
	}
	add := replicator.AddServer{Ticket: request.Ticket + joinTicketBase, Server: request.Server}
	for _, known := range d.servers {
		if known.ID == request.Server.ID {
			answer.Member, answer.Detail = known.Voter, "the log is being copied"
			d.actions = append(d.actions, Action{Joined: &answer})
			return
		}
		if known.ID.Name == request.Server.ID.Name && known.Voter {
			add.Server.Replaces = known.ID
		}
	}
	d.perform(now, d.Node.Step(now, add))
}

// joinAnswered answers a Join request that was proposed to the log.
func (d *Driver) joinAnswered(ticket replicator.Ticket, detail string) {
	d.actions = append(d.actions, Action{Joined: &JoinAnswered{Ticket: ticket - joinTicketBase, Leader: d.leader, Detail: detail}})
}

// keepSnapshotContent keeps the content of a received snapshot for the node's decision whether to restore it.
func (d *Driver) keepSnapshotContent(event Event) {
	clear(d.receivedSnapshot)
	received, ok := event.Log.(replicator.Received)
	if !ok {
		return
	}
	if install, ok := received.Envelope.Message.(replicator.InstallSnapshot); ok {
		d.receivedSnapshot = map[replicator.Index][]byte{install.Snapshot.Index: event.Content}
	}
}

func (d *Driver) perform(now time.Time, actions []replicator.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case replicator.Proposed:
			if action.Ticket >= joinTicketBase {
				d.joinAnswered(action.Ticket, "the server is being added")
				continue
			}
			if action.Ticket >= queueTicketBase {
				delete(d.proposedCommands, action.Ticket)
				continue
			}
			d.control(now, d.Sequencer.Step(now, sequencer.Logged{Ticket: sequencer.Ticket(action.Ticket),
				Index: uint64(action.Index), Term: uint64(action.Term)}))
		case replicator.Refused:
			if action.Ticket >= joinTicketBase {
				d.joinAnswered(action.Ticket, string(action.Reason))
				continue
			}
			if action.Ticket >= queueTicketBase && action.Ticket < transferTicketBase {
				d.queueCommandRefused(now, action)
				continue
			}
			if action.Ticket >= transferTicketBase {
				d.answerTransfers(string(action.Reason))
				continue
			}
			d.control(now, d.Sequencer.Step(now, sequencer.Rejected{Ticket: sequencer.Ticket(action.Ticket), Verdict: verdict(action.Reason)}))
		case replicator.Apply:
			d.apply(now, action.Entries)
		case replicator.MembershipChanged:
			d.servers = action.Servers
			d.actions = append(d.actions, Action{Log: action})
		case replicator.BecameLeader:
			d.leader = netip.AddrPort{}
			d.control(now, d.Sequencer.Step(now, sequencer.BecameLeader{}))
			d.queue(now, d.Dispatcher.Step(now, dispatcher.BecameLeader{Term: uint64(action.Term)}))
			d.schedulePrune(now)
			d.actions = append(d.actions, Action{Log: action})
		case replicator.BecameFollower:
			d.leader = d.addrOf(action.Leader)
			d.control(now, d.Sequencer.Step(now, sequencer.BecameFollower{Leader: d.leader}))
			d.queue(now, d.Dispatcher.Step(now, dispatcher.BecameFollower{}))
			d.pruneAt = time.Time{}
			if !action.Leader.IsZero() {
				d.answerTransfers("")
			}
			d.actions = append(d.actions, Action{Log: action})
		case replicator.SaveSnapshot:
			d.actions = append(d.actions, Action{Log: action, Image: &Image{Queues: d.Dispatcher.Recorder.Image(), Registry: d.Sequencer.Registrar.Image()}})
		case replicator.Restore:
			d.restore(action)
		default:
			d.actions = append(d.actions, Action{Log: action})
		}
	}
}

func (d *Driver) control(now time.Time, actions []sequencer.Action) {
	for _, action := range actions {
		submit, ok := action.(sequencer.Submit)
		if !ok {
			d.actions = append(d.actions, Action{Control: action})
			continue
		}
		data, err := proto.Marshal(encoder.EncodeBatch(submit.Batch))
		if err != nil {
			d.Fault(errors.Wrap(err, "driver: encode a batch"))
			continue
		}
		d.actions = append(d.actions, Action{Batched: len(submit.Batch.Commands)})
		d.perform(now, d.Node.Step(now, replicator.Propose{Ticket: replicator.Ticket(submit.Ticket), Data: data}))
	}
}

func (d *Driver) apply(now time.Time, entries []replicator.Entry) {
	for _, entry := range entries {
		batch := specifier.Batch{}
		if entry.Kind == replicator.Data {
			var err error
			if batch, err = decodeBatch(entry.Data); err != nil {
				d.Fault(errors.Wrapf(err, "driver: decode the log entry at %d", entry.Index))
				return
			}
		}
		d.control(now, d.Sequencer.Step(now, sequencer.Committed{Index: uint64(entry.Index), Term: uint64(entry.Term), Batch: batch}))
		for _, command := range batch.QueueCommands {
			d.queue(now, d.Dispatcher.Step(now, dispatcher.Applied{Command: command}))
		}
		d.addToHistory()
	}
}

// restore loads a received snapshot that the node installed. At start-up no snapshot is received: the adapter
// has already read the one in the data folder.
func (d *Driver) restore(action replicator.Restore) {
	if content, ok := d.receivedSnapshot[action.Snapshot.Index]; ok {
		queues, state, err := DecodeImage(content, d.Dispatcher.Recorder.Retention)
		if err != nil {
			d.Fault(errors.Wrapf(err, "driver: decode the snapshot at %d", action.Snapshot.Index))
			return
		}
		d.Sequencer.Restore(state)
		d.Dispatcher.Recorder = queues
		d.addToHistory()
	}
	d.actions = append(d.actions, Action{Log: action})
}

func decodeBatch(data []byte) (specifier.Batch, error) {
	var m encoder.LogBatch
	if err := proto.Unmarshal(data, &m); err != nil {
		return specifier.Batch{}, err
	}
	return encoder.DecodeBatch(&m)
}

func verdict(reason replicator.Reason) specifier.Verdict {
	if reason == replicator.Full || reason == replicator.TooLarge {
		return specifier.Full
	}
	return specifier.NotLeader
}
