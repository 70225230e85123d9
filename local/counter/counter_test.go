package counter_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc/stats"

	"oleandertally/core/encoder"
	"oleandertally/local/counter"
)

// Guards against a count of items that treats a message with several items as one.
func TestCounter(t *testing.T) {
	c := &counter.Counter{}
	workerCall := c.TagRPC(context.Background(), &stats.RPCTagInfo{FullMethodName: "link"})
	proposeCall := c.TagRPC(context.Background(), &stats.RPCTagInfo{FullMethodName: "propose"})
	c.HandleRPC(workerCall, &stats.OutPayload{Payload: &encoder.EntryMessage{Assigns: make([]*encoder.Assign, 3)}, WireLength: 100})
	c.HandleRPC(workerCall, &stats.OutPayload{Payload: &encoder.EntryMessage{Fences: make([]*encoder.Fence, 1)}, WireLength: 20})
	c.HandleRPC(workerCall, &stats.InPayload{Payload: &encoder.AgentMessage{Dones: make([]*encoder.Done, 2)}, WireLength: 70})
	c.HandleRPC(proposeCall, &stats.OutPayload{Payload: &encoder.Proposals{Items: make([]*encoder.Proposal, 5)}, WireLength: 300})
	c.HandleRPC(workerCall, &stats.End{})
	must.Eq(t, map[counter.Flow]counter.Tally{
		{Method: "link", Sent: true}:    {Messages: 2, Items: 4, Bytes: 120},
		{Method: "link"}:                {Messages: 1, Items: 2, Bytes: 70},
		{Method: "propose", Sent: true}: {Messages: 1, Items: 5, Bytes: 300},
	}, c.Tallies())
}
