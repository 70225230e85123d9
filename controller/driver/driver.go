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

// joinTickets is added to the tickets of requests to join, which the sequencer does not know.
const joinTickets = 1 << 62

// Driver is the control state of a controller. Exported fields are set before the first Step.
type Driver struct {
	Node       *replicator.Node
	Sequencer  *sequencer.Sequencer
	Dispatcher *dispatcher.Dispatcher
	// Fault is called with an error that the controller can't go on after: a committed batch or
	// a snapshot that can't be decoded.
	Fault func(error)
	// AllowedNames are the controllers that may join; nil for any.
	AllowedNames []string
	// MinVoters is how many controllers must hold the log before queues take anything in, so that what is acknowledged
	// survives the losses that the site is built for.
	MinVoters int
	// VoterTimeout is how long a voter may be silent before it is removed while more than MinVoters are left; 0 for never.
	VoterTimeout time.Duration
	Zone         string // of this controller, for operators

	history    operator.History
	remembered specifier.Revision  // the newest one in history
	servers    []replicator.Server // in force
	leader     netip.AddrPort      // zero while unknown or while this controller leads
	offered    map[replicator.Index][]byte
	leaving    []uint64 // tickets of requests to hand over
	queued     map[replicator.Ticket]specifier.QueueCommand
	lastQueued replicator.Ticket
	pruneAt    time.Time
	out        []Action
}

// Step handles one event.
func (d *Driver) Step(now time.Time, event Event) []Action {
	d.out = nil
	switch {
	case event.Log != nil:
		d.offer(event)
		d.perform(now, d.Node.Step(now, event.Log))
	case event.Queue != nil:
		d.queue(now, d.Dispatcher.Step(now, event.Queue))
	case event.Join != nil:
		d.join(now, *event.Join)
	case event.Read != nil:
		d.read(now, *event.Read)
	case event.TransferLeadership != nil:
		d.handOver(now, *event.TransferLeadership)
	case event.Measure != nil:
		d.measure(now, *event.Measure)
	default:
		d.control(now, d.Sequencer.Step(now, event.Control))
	}
	return d.out
}

// Expire handles the deadlines that are due.
func (d *Driver) Expire(now time.Time) []Action {
	d.out = nil
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
	return d.out
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

// join adds a server, in the place of the one of the same name whose disk is lost.
func (d *Driver) join(now time.Time, request Join) {
	answer := JoinAnswered{Ticket: request.Ticket}
	if !d.Node.Leading(now) {
		answer.Leader, answer.Detail = d.leader, "this controller does not lead"
		d.out = append(d.out, Action{Joined: &answer})
		return
	}
	if d.AllowedNames != nil && !slices.Contains(d.AllowedNames, request.Server.ID.Name) {
		answer.Detail = "this name is not in the leader's settings"
		d.out = append(d.out, Action{Joined: &answer})
		return
	}
	add := replicator.AddServer{Ticket: request.Ticket + joinTickets, Server: request.Server}
	for _, known := range d.servers {
		if known.ID == request.Server.ID {
			answer.Member, answer.Detail = known.Voter, "the log is being copied"
			d.out = append(d.out, Action{Joined: &answer})
			return
		}
		if known.ID.Name == request.Server.ID.Name && known.Voter {
			add.Server.Replaces = known.ID
		}
	}
	d.perform(now, d.Node.Step(now, add))
}

// joinAnswered answers a request that went to the log.
func (d *Driver) joinAnswered(ticket replicator.Ticket, detail string) {
	d.out = append(d.out, Action{Joined: &JoinAnswered{Ticket: ticket - joinTickets, Leader: d.leader, Detail: detail}})
}

// offer keeps the content of a snapshot until the node says whether to restore it.
func (d *Driver) offer(event Event) {
	clear(d.offered)
	received, ok := event.Log.(replicator.Received)
	if !ok {
		return
	}
	if install, ok := received.Envelope.Message.(replicator.InstallSnapshot); ok {
		d.offered = map[replicator.Index][]byte{install.Snapshot.Index: event.Content}
	}
}

func (d *Driver) perform(now time.Time, actions []replicator.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case replicator.Proposed:
			if action.Ticket >= joinTickets {
				d.joinAnswered(action.Ticket, "the server is being added")
				continue
			}
			if action.Ticket >= queueTickets {
				delete(d.queued, action.Ticket)
				continue
			}
			d.control(now, d.Sequencer.Step(now, sequencer.Logged{Ticket: sequencer.Ticket(action.Ticket),
				Index: uint64(action.Index), Term: uint64(action.Term)}))
		case replicator.Refused:
			if action.Ticket >= joinTickets {
				d.joinAnswered(action.Ticket, string(action.Reason))
				continue
			}
			if action.Ticket >= queueTickets && action.Ticket < transferTickets {
				d.queueRefused(now, action.Ticket)
				continue
			}
			if action.Ticket >= transferTickets {
				d.handedOver(string(action.Reason))
				continue
			}
			d.control(now, d.Sequencer.Step(now, sequencer.Rejected{Ticket: sequencer.Ticket(action.Ticket), Verdict: verdict(action.Reason)}))
		case replicator.Apply:
			d.apply(now, action.Entries)
		case replicator.MembershipChanged:
			d.servers = action.Servers
			d.out = append(d.out, Action{Log: action})
		case replicator.BecameLeader:
			d.leader = netip.AddrPort{}
			d.control(now, d.Sequencer.Step(now, sequencer.BecameLeader{}))
			d.queue(now, d.Dispatcher.Step(now, dispatcher.BecameLeader{Term: uint64(action.Term)}))
			d.watchPeers(now)
			d.out = append(d.out, Action{Log: action})
		case replicator.BecameFollower:
			d.leader = d.addrOf(action.Leader)
			d.control(now, d.Sequencer.Step(now, sequencer.BecameFollower{Leader: d.leader}))
			d.queue(now, d.Dispatcher.Step(now, dispatcher.BecameFollower{}))
			d.pruneAt = time.Time{}
			if !action.Leader.IsZero() {
				d.handedOver("")
			}
			d.out = append(d.out, Action{Log: action})
		case replicator.SaveSnapshot:
			d.out = append(d.out, Action{Log: action, Image: &Image{Queues: d.Dispatcher.Recorder.Image(), Registry: d.Sequencer.Registrar.Image()}})
		case replicator.Restore:
			d.restore(action)
		default:
			d.out = append(d.out, Action{Log: action})
		}
	}
}

func (d *Driver) control(now time.Time, actions []sequencer.Action) {
	for _, action := range actions {
		submit, ok := action.(sequencer.Submit)
		if !ok {
			d.out = append(d.out, Action{Control: action})
			continue
		}
		data, err := proto.Marshal(encoder.EncodeBatch(submit.Batch))
		if err != nil {
			d.Fault(errors.Wrap(err, "driver: encode a batch"))
			continue
		}
		d.out = append(d.out, Action{Batched: len(submit.Batch.Commands)})
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
		for _, command := range batch.Queue {
			d.queue(now, d.Dispatcher.Step(now, dispatcher.Applied{Command: command}))
		}
		d.remember()
	}
}

// restore loads a snapshot that the log took over. At the start there is none to load: the adapter
// read it with the data folder.
func (d *Driver) restore(action replicator.Restore) {
	if content, ok := d.offered[action.Snapshot.Index]; ok {
		queues, state, err := DecodeImage(content, d.Dispatcher.Recorder.Retention)
		if err != nil {
			d.Fault(errors.Wrapf(err, "driver: decode the snapshot at %d", action.Snapshot.Index))
			return
		}
		d.Sequencer.Restore(state)
		d.Dispatcher.Recorder = queues
		d.remember()
	}
	d.out = append(d.out, Action{Log: action})
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
