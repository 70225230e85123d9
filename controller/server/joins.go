package server

import (
	"context"
	"sync"

	"google.golang.org/grpc/status"

	"oleandertally/controller/driver"
	"oleandertally/core/mailer"
	"oleandertally/state/replicator"
	"oleandertally/state/transporter"
)

// joins ties requests for membership to the answers of the control loop.
type joins struct {
	mailbox *mailer.Mailbox[driver.Event]

	mutex   sync.Mutex
	last    replicator.Ticket
	waiting map[replicator.Ticket]chan driver.JoinAnswered
}

// ask waits for the control loop's answer. The answer is not the end of the change: the
// server asks again until it is a voter.
func (j *joins) ask(ctx context.Context, server replicator.Server) (*transporter.JoinReply, error) {
	answer := make(chan driver.JoinAnswered, 1)
	j.mutex.Lock()
	if j.waiting == nil {
		j.waiting = make(map[replicator.Ticket]chan driver.JoinAnswered)
	}
	j.last++
	ticket := j.last
	j.waiting[ticket] = answer
	j.mutex.Unlock()
	defer j.forget(ticket)
	if err := j.mailbox.Send(ctx, driver.Event{Join: &driver.Join{Ticket: ticket, Server: server}}); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	select {
	case answered := <-answer:
		reply := &transporter.JoinReply{Member: answered.Member, Detail: answered.Detail}
		if answered.Leader.IsValid() {
			reply.Leader = answered.Leader.String()
		}
		return reply, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

func (j *joins) answer(answered driver.JoinAnswered) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if waiting := j.waiting[answered.Ticket]; waiting != nil {
		waiting <- answered
		delete(j.waiting, answered.Ticket)
	}
}

func (j *joins) forget(ticket replicator.Ticket) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	delete(j.waiting, ticket)
}
