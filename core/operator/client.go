package operator

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"oleandertally/core/encoder"
	"oleandertally/core/merger"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// Client calls the controllers until the leader answers. Its exported fields are set before use.
type Client struct {
	Controllers []netip.AddrPort
	Credentials credentials.TransportCredentials
	// RoleCredentials returns the credentials for processes of a role other than Controller, which have other
	// certificates. When nil, Credentials are used for all roles.
	RoleCredentials func(specifier.Role) credentials.TransportCredentials
	PerRPC          credentials.PerRPCCredentials                    // sent with each call, unless nil
	AttemptTimeout  time.Duration                                    // time limit of one call
	MaxRounds       int                                              // how many times every controller is tried
	RoundInterval   time.Duration                                    // wait between two rounds, in which an election can complete
	Pause           func(ctx context.Context, d time.Duration) error // waits, or returns the context's error
	Clock           func() time.Time

	roles map[netip.AddrPort]specifier.Role // by the address of each member
}

// SetMembers sets the role of each member's address. It must not run during a call.
func (c *Client) SetMembers(members []specifier.Member) {
	c.roles = make(map[netip.AddrPort]specifier.Role, len(members))
	for _, member := range members {
		c.roles[member.Addr] = member.Role
	}
}

// credentialsFor returns the credentials for the process at addr.
func (c *Client) credentialsFor(addr netip.AddrPort) credentials.TransportCredentials {
	if role, ok := c.roles[addr]; ok && c.RoleCredentials != nil {
		return c.RoleCredentials(role)
	}
	return c.Credentials
}

// Read returns the state with the configuration at revision, or with the one in force when revision is 0. It returns
// ErrRevisionUnavailable when the leader does not store the revision.
func (c *Client) Read(ctx context.Context, revision specifier.Revision) (State, error) {
	return callLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (State, error) {
		reply, err := encoder.NewOperatorClient(conn).Read(ctx, &encoder.ReadRequest{Revision: uint64(revision)})
		if err != nil {
			return State{}, err
		}
		if reply.GetNotLeader() {
			return State{}, &NotLeaderError{Leader: decodeAddr(&specifier.Problems{}, "Leader", reply.GetLeader())}
		}
		return DecodeState(reply)
	})
}

// Change proposes command, a ChangeConfiguration or a DrainMember, and returns the decision. The command is idempotent,
// so it is sent again when the answer is lost.
func (c *Client) Change(ctx context.Context, requestID, operator string, command specifier.Command) (specifier.Decision, error) {
	message := &encoder.ChangeRequest{RequestId: requestID, Operator: operator, Command: encoder.EncodeCommand(command)}
	return callLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (specifier.Decision, error) {
		reply, err := encoder.NewOperatorClient(conn).Change(ctx, message)
		if err != nil {
			return specifier.Decision{}, err
		}
		decision, err := encoder.DecodeDecision(reply.GetDecision())
		if err == nil && decision.Verdict == specifier.NotLeader {
			return specifier.Decision{}, &NotLeaderError{Leader: decision.Leader}
		}
		return decision, err
	})
}

// Evacuate sends an order about an availability zone, and returns once it is in force everywhere. The order is idempotent, so it is sent
// again when the answer is lost.
func (c *Client) Evacuate(ctx context.Context, requestID, operator string, order Evacuation) error {
	message := &encoder.EvacuationRequest{RequestId: requestID, Operator: operator, Zone: order.Zone, Restore: order.Restore}
	_, err := callLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*encoder.EvacuationReply, error) {
		reply, err := encoder.NewOperatorClient(conn).EvacuateZone(ctx, message)
		if err == nil && reply.GetNotLeader() {
			return nil, &NotLeaderError{Leader: decodeAddr(&specifier.Problems{}, "Leader", reply.GetLeader())}
		}
		return reply, err
	})
	return err
}

// Gather fetches the events of the process at addr that filter selects. The span of filter is not applied.
func (c *Client) Gather(ctx context.Context, addr netip.AddrPort, filter recorder.Filter) (merger.Log, error) {
	request := &encoder.EventsRequest{Worker: filter.Worker}
	if filter.Job != (specifier.JobID{}) {
		request.Job = filter.Job[:]
	}
	return call(ctx, c, addr, func(ctx context.Context, conn *grpc.ClientConn) (merger.Log, error) {
		requestedAt := c.Clock()
		reply, err := encoder.NewTimelineClient(conn).Gather(ctx, request)
		if err != nil {
			return merger.Log{}, err
		}
		return decodeLog(reply, requestedAt, c.Clock())
	})
}

func decodeLog(reply *encoder.EventList, requestedAt, repliedAt time.Time) (merger.Log, error) {
	log := merger.Log{RequestedAt: requestedAt, RepliedAt: repliedAt, ProcessTime: time.Unix(0, reply.GetNow()), Dropped: int(reply.GetDropped())}
	if len(reply.GetItems()) > maxEvents {
		return log, errors.Newf("Items: has %d events, expected at most %d", len(reply.GetItems()), maxEvents)
	}
	for i, item := range reply.GetItems() {
		event, err := DecodeEvent(item)
		if err != nil {
			return log, errors.Wrapf(err, "Items[%d]", i)
		}
		log.Events = append(log.Events, event)
	}
	return log, nil
}
