package counter

import (
	"context"
	"maps"
	"sync"

	"google.golang.org/grpc/stats"

	"oleandertally/core/encoder"
)

// methodKey is the context key of a call's method.
type methodKey struct{}

// Counter is a stats.Handler that counts the messages of gRPC connections. It is set only on the side that opens the
// connections, so that each message counts once. The zero value is ready for use.
type Counter struct {
	mutex   sync.Mutex
	tallies map[Flow]Tally
}

// Tallies returns the counts so far.
func (c *Counter) Tallies() map[Flow]Tally {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.tallies)
}

// TagRPC stores the method of a call in its context.
func (c *Counter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, info.FullMethodName)
}

// HandleRPC counts sent and received messages.
func (c *Counter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	switch event := event.(type) {
	case *stats.InPayload:
		c.add(ctx, false, event.Payload, event.WireLength)
	case *stats.OutPayload:
		c.add(ctx, true, event.Payload, event.WireLength)
	}
}

// TagConn returns ctx unchanged.
func (c *Counter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (c *Counter) HandleConn(context.Context, stats.ConnStats) {}

func (c *Counter) add(ctx context.Context, sent bool, payload any, size int) {
	method, _ := ctx.Value(methodKey{}).(string)
	flow := Flow{Method: method, Sent: sent}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.tallies == nil {
		c.tallies = make(map[Flow]Tally)
	}
	c.tallies[flow] = c.tallies[flow].Add(Tally{Messages: 1, Items: items(payload), Bytes: size})
}

// items returns the number of items in a message. A message without a list is one item.
func items(payload any) int {
	switch message := payload.(type) {
	case *encoder.EntryMessage:
		return len(message.Assigns) + len(message.Withdraws) + len(message.Fences)
	case *encoder.AgentMessage:
		return len(message.Dones) + len(message.Refusals) + len(message.Reports)
	case *encoder.Proposals:
		return len(message.Items)
	case *encoder.Verdicts:
		return len(message.Items)
	}
	return 1
}
