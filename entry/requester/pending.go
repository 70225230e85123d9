package requester

import (
	"time"

	"oleandertally/core/specifier"
)

// pending is a call without a reply.
type pending struct {
	sequence     uint64
	call         specifier.QueueCall
	startedAt    time.Time
	deadline     time.Time
	waitUntil    time.Time // how long a job that no controller has may wait for a leader
	replyTo      chan<- answer
	sent         bool      // the call was sent at least once, on this stream or an earlier one
	maybeHandled bool      // a stream ended while the call was in flight, so a controller may have handled it
	inFlight     bool      // sent on the current stream and not answered
	retryAt      time.Time // when to resend the call after a controller could not handle it; zero if not scheduled
}

// changesJobs reports whether the call starts or cancels a job.
func (p *pending) changesJobs() bool {
	return p.call.Verb == specifier.SubmitQueued || p.call.Verb == specifier.CancelQueued
}

// withoutReply returns the error of a call that is given up. A transient job that only controllers which could not answer have received
// has not run.
func (p *pending) withoutReply() error {
	if !p.sent || p.call.Job.Transient && !p.maybeHandled && !p.inFlight {
		return ErrUnsent
	}
	return ErrUnanswered
}

// outcome returns the reply that the caller gets. The controller that replies does not know what an earlier one has done, and its manifest
// may be another one, so its denial does not stand when an earlier one may have handled the call.
func (p *pending) outcome(reply specifier.QueueReply) specifier.QueueReply {
	if !p.maybeHandled || !p.changesJobs() || !reply.Result.DeniesEffect() {
		return reply
	}
	return specifier.QueueReply{Result: specifier.QueueExpired, Detail: "an earlier leader may have handled the call; the present one replied: " + reply.Detail}
}
