package redirector

import (
	"net/netip"

	"oleandertally/core/encoder"
)

// queues sends the controllers' addresses on each stream of an entry or agent, and waits for the stream to close.
type queues struct {
	encoder.UnimplementedQueueKeeperServer

	leaderAndControllers func() (netip.AddrPort, []netip.AddrPort)
}

// Call serves the stream of an entry.
func (q *queues) Call(stream encoder.QueueKeeper_CallServer) error {
	if err := stream.Send(&encoder.QueueReplies{Welcome: q.welcome()}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// Attend serves the stream of an agent.
func (q *queues) Attend(stream encoder.QueueKeeper_AttendServer) error {
	if err := stream.Send(&encoder.QueueOrder{Welcome: q.welcome()}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

func (q *queues) welcome() *encoder.QueueWelcome {
	leader, controllers := q.leaderAndControllers()
	welcome := &encoder.QueueWelcome{}
	if leader.IsValid() {
		welcome.Leader = leader.String()
	}
	for _, addr := range controllers {
		welcome.Controllers = append(welcome.Controllers, addr.String())
	}
	return welcome
}
