package driver

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"oleandertally/controller/sequencer"
	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
	"oleandertally/state/registrar"
	"oleandertally/state/replicator"
)

// operatorTickets is the first ticket of requests that do not come from the sequencer.
const operatorTickets = 1 << 62

// Driver is the control state of a controller. Exported fields are set before the first Step.
type Driver struct {
	Node      *replicator.Node
	Sequencer *sequencer.Sequencer
	// Fault is called with an error that the controller can't go on after: a committed batch or
	// a snapshot that can't be decoded.
	Fault func(error)
	// Save and Load turn the state into the content of a snapshot and back.
	Save func(*registrar.Registrar) ([]byte, error)
	Load func([]byte) (*registrar.Registrar, error)

	servers map[replicator.ServerID]netip.AddrPort
	offered map[replicator.Index][]byte
	out     []Action
}

// Step handles one event.
func (d *Driver) Step(now time.Time, event Event) []Action {
	d.out = nil
	if event.Log != nil {
		d.offer(event)
		d.perform(now, d.Node.Step(now, event.Log))
	} else {
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
	return d.out
}

// Next returns the earliest deadline.
func (d *Driver) Next() time.Time {
	log, control := d.Node.Next(), d.Sequencer.Next()
	if log.IsZero() || (!control.IsZero() && control.Before(log)) {
		return control
	}
	return log
}

// Learn notes the addresses of servers, so that a leader can be named by its address.
func (d *Driver) Learn(servers []replicator.Server) {
	if d.servers == nil {
		d.servers = make(map[replicator.ServerID]netip.AddrPort)
	}
	for _, server := range servers {
		d.servers[server.ID] = server.Addr
	}
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
			if action.Ticket < operatorTickets {
				d.control(now, d.Sequencer.Step(now, sequencer.Logged{Ticket: sequencer.Ticket(action.Ticket),
					Index: uint64(action.Index), Term: uint64(action.Term)}))
				continue
			}
			d.out = append(d.out, Action{Log: action})
		case replicator.Refused:
			if action.Ticket < operatorTickets {
				d.control(now, d.Sequencer.Step(now, sequencer.Rejected{Ticket: sequencer.Ticket(action.Ticket), Verdict: verdict(action.Reason)}))
				continue
			}
			d.out = append(d.out, Action{Log: action})
		case replicator.Apply:
			d.apply(now, action.Entries)
		case replicator.BecameLeader:
			d.control(now, d.Sequencer.Step(now, sequencer.Led{}))
		case replicator.BecameFollower:
			d.control(now, d.Sequencer.Step(now, sequencer.Followed{Leader: d.servers[action.Leader]}))
		case replicator.SaveSnapshot:
			content, err := d.Save(d.Sequencer.Registrar)
			if err != nil {
				d.Fault(errors.Wrap(err, "driver: encode the state"))
				continue
			}
			d.out = append(d.out, Action{Log: action, Content: content})
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
		d.perform(now, d.Node.Step(now, replicator.Propose{Ticket: replicator.Ticket(submit.Ticket), Data: data}))
	}
}

func (d *Driver) apply(now time.Time, entries []replicator.Entry) {
	for _, entry := range entries {
		if entry.Kind == replicator.Membership {
			d.Learn(entry.Servers)
		}
		batch := specifier.Batch{}
		if entry.Kind == replicator.Data {
			var err error
			if batch, err = decodeBatch(entry.Data); err != nil {
				d.Fault(errors.Wrapf(err, "driver: decode the log entry at %d", entry.Index))
				return
			}
		}
		d.control(now, d.Sequencer.Step(now, sequencer.Committed{Index: uint64(entry.Index), Term: uint64(entry.Term), Batch: batch}))
	}
}

func (d *Driver) restore(action replicator.Restore) {
	content := d.offered[action.Snapshot.Index]
	state, err := d.Load(content)
	if err != nil {
		d.Fault(errors.Wrapf(err, "driver: decode the snapshot at %d", action.Snapshot.Index))
		return
	}
	d.Learn(action.Snapshot.Servers)
	d.Sequencer.Restored(state)
	d.out = append(d.out, Action{Log: action, Content: content})
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
