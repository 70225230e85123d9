package redirector

import (
	"net/netip"

	"oleandertally/core/encoder"
)

// queues tells each stream of an entry or agent where the controllers are, and waits for it to close.
type queues struct {
	encoder.UnimplementedQueueKeeperServer

	known func() (netip.AddrPort, []netip.AddrPort)
}

// Call is the stream of an entry.
func (q *queues) Call(stream encoder.QueueKeeper_CallServer) error {
	if err := stream.Send(&encoder.QueueReplies{Welcome: q.welcome()}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// Attend is the stream of an agent.
func (q *queues) Attend(stream encoder.QueueKeeper_AttendServer) error {
	if err := stream.Send(&encoder.QueueOrder{Welcome: q.welcome()}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

func (q *queues) welcome() *encoder.QueueWelcome {
	leader, controllers := q.known()
	welcome := &encoder.QueueWelcome{}
	if leader.IsValid() {
		welcome.Leader = leader.String()
	}
	for _, addr := range controllers {
		welcome.Controllers = append(welcome.Controllers, addr.String())
	}
	return welcome
}
