package connector

import (
	"context"
	"time"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/supervisor"
	"oleandertally/entry/coordinator"
)

// requestTimeout is how long one request to another entry may wait. The coordinator then proposes the job again and may ask again.
const requestTimeout = 30 * time.Second

// Asker requests the answers of jobs from the entries that own them. Fields are set before use.
type Asker struct {
	Pool  *dialer.Pool
	Sink  *Sink
	Group *supervisor.GuardedGroup
	Ctx   context.Context
}

// Ask requests the answer in the background and delivers OwnerAnswered to the coordinator.
func (a *Asker) Ask(question coordinator.AskOwner) {
	a.Group.Go(func() error {
		answer := coordinator.OwnerAnswered{Job: question.Job, Owner: question.Owner, Unavailable: true}
		if reply, err := a.await(question); err == nil && !reply.Gone {
			if decoded, err := encoder.DecodeAnswer(reply.Answer); err == nil {
				answer.Unavailable, answer.Answer = false, decoded
			}
		}
		_ = deliver(a.Ctx, a.Sink, answer)
		return nil
	})
}

func (a *Asker) await(question coordinator.AskOwner) (*encoder.AwaitReply, error) {
	conn, err := a.Pool.Conn(question.Addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(a.Ctx, requestTimeout)
	defer cancel()
	return encoder.NewPeerClient(conn).Await(ctx, &encoder.AwaitRequest{Job: question.Job[:], Digest: question.Digest[:],
		Incarnation: uint64(question.Owner.Incarnation), Cancel: question.Cancel})
}
