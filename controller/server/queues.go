package server

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"oleandertally/controller/dispatcher"
	"oleandertally/controller/driver"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
	"oleandertally/state/replicator"
)

// queues serves the streams of entries and agents that the dispatcher uses. The first message on each stream is a welcome,
// which reports whether this controller leads.
type queues struct {
	encoder.UnimplementedQueueKeeperServer

	mailbox  *looper.Mailbox[driver.Event]
	lastID   atomic.Uint64 // ID of the newest stream
	calls    streams[dispatcher.Stream, *encoder.QueueReplies]
	sessions streams[dispatcher.Stream, *encoder.QueueOrder]

	relays relays

	updating sync.Mutex // held during updateWelcome
	mutex    sync.Mutex
	welcome  *encoder.QueueWelcome
	servers  []replicator.Server
}

func newQueues(mailbox *looper.Mailbox[driver.Event], clock func() time.Time, log zerolog.Logger) *queues {
	q := &queues{mailbox: mailbox}
	q.relays = relays{clock: clock, log: log, publish: q.setRelays, changed: make(chan struct{}, 1)}
	return q
}

// currentWelcome returns the welcome for new streams.
func (q *queues) currentWelcome() *encoder.QueueWelcome {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.welcome == nil {
		return &encoder.QueueWelcome{}
	}
	return q.welcome
}

func (q *queues) setServers(servers []replicator.Server) {
	q.mutex.Lock()
	q.servers = servers
	q.mutex.Unlock()
	q.updateWelcome(func(m *encoder.QueueWelcome) {
		m.Controllers = nil
		for _, server := range servers {
			m.Controllers = append(m.Controllers, server.Addr.String())
		}
	})
}

func (q *queues) setLeader(leading bool, leader netip.AddrPort) {
	q.updateWelcome(func(m *encoder.QueueWelcome) {
		m.Leading, m.Leader = leading, ""
		if leader.IsValid() {
			m.Leader = leader.String()
		}
	})
}

func (q *queues) setRelays(relays []string) {
	q.updateWelcome(func(m *encoder.QueueWelcome) { m.Relays = relays })
}

// updateWelcome changes the welcome and sends it on every stream.
func (q *queues) updateWelcome(edit func(*encoder.QueueWelcome)) {
	q.updating.Lock()
	defer q.updating.Unlock()
	next := proto.Clone(q.currentWelcome()).(*encoder.QueueWelcome)
	edit(next)
	q.mutex.Lock()
	q.welcome = next
	q.mutex.Unlock()
	q.calls.broadcast(&encoder.QueueReplies{Welcome: next})
	q.sessions.broadcast(&encoder.QueueOrder{Welcome: next})
}

// addrOf returns the address of a controller, or the zero address.
func (q *queues) addrOf(id replicator.ServerID) netip.AddrPort {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, server := range q.servers {
		if server.ID == id {
			return server.Addr
		}
	}
	return netip.AddrPort{}
}

// Call receives the calls of an entry and sends the replies.
func (q *queues) Call(stream encoder.QueueKeeper_CallServer) error {
	id := dispatcher.Stream(q.lastID.Add(1))
	box := q.calls.open(id)
	defer q.calls.close(id)
	defer q.notifyClosed(dispatcher.CallerDisconnected{Stream: id})
	defer q.relays.streamEnded(id)
	box.Put(&encoder.QueueReplies{Welcome: q.currentWelcome()})
	group, ctx := supervisor.WithContext(stream.Context())
	group.Go(func() error { return sendAll(ctx, box, mergeReplies, stream.Send) })
	group.Go(func() error {
		for first := true; ; first = false {
			calls, err := stream.Recv()
			if err != nil {
				return err
			}
			if first && calls.Relay != "" {
				q.relays.announce(id, calls.Relay)
			}
			if len(calls.Items) == 0 {
				box.Put(&encoder.QueueReplies{}) // the answer to a ping
			}
			for _, each := range calls.Items {
				call, err := encoder.DecodeQueueCall(each)
				if err != nil {
					// The stream carries the calls of many callers, so it stays open.
					refusal := specifier.QueueReply{Result: specifier.QueueInvalid, Detail: err.Error()}
					box.Put(&encoder.QueueReplies{Items: []*encoder.QueueReply{encoder.EncodeQueueReply(each.Sequence, refusal)}})
					continue
				}
				event := dispatcher.CallReceived{Stream: id, Sequence: each.Sequence, Call: call}
				if err := q.mailbox.Send(ctx, driver.Event{Queue: event}); err != nil {
					return err
				}
			}
		}
	})
	return group.Wait()
}

// Attend receives the reports of an agent and sends its orders.
func (q *queues) Attend(stream encoder.QueueKeeper_AttendServer) error {
	id := dispatcher.Stream(q.lastID.Add(1))
	box := q.sessions.open(id)
	defer q.sessions.close(id)
	defer q.notifyClosed(dispatcher.AgentDisconnected{Stream: id})
	box.Put(&encoder.QueueOrder{Welcome: q.currentWelcome()})
	group, ctx := supervisor.WithContext(stream.Context())
	group.Go(func() error { return sendAll(ctx, box, nil, stream.Send) })
	group.Go(func() error {
		for {
			message, err := stream.Recv()
			if err != nil {
				return err
			}
			event := dispatcher.ReportReceived{Stream: id, Report: encoder.DecodeLeaseReport(message)}
			if err := q.mailbox.Send(ctx, driver.Event{Queue: event}); err != nil {
				return err
			}
		}
	})
	return group.Wait()
}

// sendAll sends the items of the box until ctx ends. merge combines items into fewer messages; it may be nil.
func sendAll[T any](ctx context.Context, box *looper.Outbox[T], merge func([]T) []T, send func(T) error) error {
	for {
		items, err := box.Take(ctx)
		if err != nil {
			return err
		}
		if merge != nil {
			items = merge(items)
		}
		for _, item := range items {
			if err := send(item); err != nil {
				return err
			}
		}
	}
}

// mergeReplies puts consecutive replies into one message.
func mergeReplies(list []*encoder.QueueReplies) []*encoder.QueueReplies {
	merged := list[:1]
	for _, each := range list[1:] {
		last := merged[len(merged)-1]
		if each.Welcome != nil || last.Welcome != nil {
			merged = append(merged, each)
			continue
		}
		last.Items = append(last.Items, each.Items...)
	}
	return merged
}

// notifyClosed reports to the control loop that a stream ended. It gives up after closeTimeout, as the loop may have ended too.
func (q *queues) notifyClosed(event dispatcher.Event) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = q.mailbox.Send(ctx, driver.Event{Queue: event})
}

// otherControllers returns a function that lists the addresses of the configuration in force, except self.
func (q *queues) otherControllers(self netip.AddrPort) func() []netip.AddrPort {
	return func() []netip.AddrPort {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		var list []netip.AddrPort
		for _, server := range q.servers {
			if server.Addr != self {
				list = append(list, server.Addr)
			}
		}
		return list
	}
}
