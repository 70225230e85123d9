package requester

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

const (
	// retryDelay is the wait before a call that a controller could not handle is resent.
	retryDelay = 40 * time.Millisecond
	// leaderTimeout is how long a call that is no transient job waits for a leader. Most leader changes take less.
	leaderTimeout = 700 * time.Millisecond
	// pingInterval keeps traffic on the stream, since an idle stream is treated as broken.
	pingInterval = 100 * time.Millisecond
)

// machine is the control state of a requester.
type machine struct {
	relay          string // announced in the first message on each stream; empty for none
	lastSequence   uint64
	calls          map[uint64]*pending
	byReply        map[chan<- answer]*pending
	outbox         *looper.Outbox[*encoder.QueueCalls] // nil without a stream
	disconnectedAt time.Time                           // when the stream ended, or the first call found no stream; zero with a stream
	pingAt         time.Time
	actions        []action
}

func newMachine() *machine {
	return &machine{calls: make(map[uint64]*pending), byReply: make(map[chan<- answer]*pending)}
}

// Step handles one event.
func (m *machine) Step(now time.Time, e event) []action {
	m.actions = nil
	switch e := e.(type) {
	case callStarted:
		if m.outbox == nil && m.disconnectedAt.IsZero() {
			m.disconnectedAt = now // no stream has been opened yet
		}
		m.lastSequence++
		call := &pending{sequence: m.lastSequence, call: e.call, startedAt: now, deadline: e.deadline, waitUntil: waitUntil(e.call.Job, now, e.deadline), replyTo: e.replyTo}
		m.calls[m.lastSequence], m.byReply[e.replyTo] = call, call
		m.send(now, call)
	case callAbandoned:
		m.dropCall(e.replyTo)
	case connected:
		m.outbox, m.pingAt, m.disconnectedAt = e.outbox, now.Add(pingInterval), time.Time{}
		if m.relay != "" {
			m.put(&encoder.QueueCalls{Relay: m.relay})
		}
		for _, sequence := range slices.Sorted(maps.Keys(m.calls)) {
			m.send(now, m.calls[sequence])
		}
	case disconnected:
		m.outbox, m.pingAt, m.disconnectedAt = nil, time.Time{}, now
		for _, call := range m.calls {
			call.maybeHandled, call.inFlight = call.maybeHandled || call.inFlight, false
		}
	case repliesReceived:
		for _, reply := range e.replies.GetItems() {
			m.reply(now, reply)
		}
	}
	return m.actions
}

// Expire handles the deadlines that are due.
func (m *machine) Expire(now time.Time) []action {
	m.actions = nil
	if !m.pingAt.IsZero() && !m.pingAt.After(now) {
		m.pingAt = now.Add(pingInterval)
		m.put(&encoder.QueueCalls{})
	}
	for _, sequence := range slices.Sorted(maps.Keys(m.calls)) {
		call := m.calls[sequence]
		switch {
		case !m.giveUpAt(call).After(now):
			m.abandon(call)
			m.finish(call, answer{err: call.withoutReply()})
		case !call.retryAt.IsZero() && !call.retryAt.After(now):
			m.send(now, call)
		}
	}
	return m.actions
}

// Next returns the earliest deadline.
func (m *machine) Next() time.Time {
	next := m.pingAt
	for _, call := range m.calls {
		for _, at := range []time.Time{m.giveUpAt(call), call.retryAt} {
			if !at.IsZero() && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}

// giveUpAt returns when the requester gives up a call. A call that the leader has is kept until its deadline: the leader refuses what can't
// be served. Without a leader, and while the controller at the other end can't answer, each call waits as long as its own time allows.
func (m *machine) giveUpAt(call *pending) time.Time {
	giveUp := call.deadline
	submits := call.call.Verb == specifier.SubmitQueued
	switch {
	case submits && !call.maybeHandled && !call.inFlight:
		giveUp = call.waitUntil
	case !m.disconnectedAt.IsZero() && submits:
		giveUp = m.disconnectedAt.Add(leaderTimeout + call.call.Job.IdealRunTime()) // the job's tasks may be running
	case !m.disconnectedAt.IsZero():
		giveUp = later(m.disconnectedAt, call.startedAt).Add(leaderTimeout)
	}
	if giveUp.Before(call.deadline) {
		return giveUp
	}
	return call.deadline
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *machine) put(message *encoder.QueueCalls) {
	if m.outbox != nil {
		m.actions = append(m.actions, action{outbox: m.outbox, message: message})
	}
}

// send sends a call with the time that its caller still waits.
func (m *machine) send(now time.Time, call *pending) {
	call.retryAt = time.Time{}
	if m.outbox == nil {
		return
	}
	call.call.Resubmitted = call.sent
	call.sent, call.inFlight = true, true
	call.call.TimeLeft, call.call.Age = call.deadline.Sub(now), now.Sub(call.startedAt)
	m.put(&encoder.QueueCalls{Items: []*encoder.QueueCall{encoder.EncodeQueueCall(call.sequence, call.call)}})
}

func (m *machine) reply(now time.Time, reply *encoder.QueueReply) {
	call := m.calls[reply.Sequence]
	if call == nil {
		return
	}
	call.inFlight = false
	decoded := encoder.DecodeQueueReply(reply)
	if decoded.Result == specifier.QueueUnavailable && call.call.Verb != specifier.GetManifest {
		call.retryAt = now.Add(retryDelay)
		return
	}
	m.finish(call, answer{reply: call.outcome(decoded)})
}

func (m *machine) finish(call *pending, outcome answer) {
	delete(m.calls, call.sequence)
	delete(m.byReply, call.replyTo)
	m.actions = append(m.actions, action{replyTo: call.replyTo, answer: outcome})
}

// dropCall removes a call whose caller no longer waits.
func (m *machine) dropCall(replyTo chan<- answer) {
	call := m.byReply[replyTo]
	if call == nil {
		return
	}
	m.abandon(call)
	delete(m.calls, call.sequence)
	delete(m.byReply, replyTo)
}

// abandon notifies the controller that a submission's caller no longer waits.
func (m *machine) abandon(call *pending) {
	if call.sent && call.call.Verb == specifier.SubmitQueued {
		m.put(&encoder.QueueCalls{Items: []*encoder.QueueCall{{Sequence: call.sequence, Verb: uint32(specifier.AbandonQueued)}}})
	}
}
