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
	// againAfter is how long to wait before a call is repeated that a controller could not answer.
	againAfter = 40 * time.Millisecond
	// leaderWithin is how long a call waits for a leader. Most changes of the leader take less.
	leaderWithin = 700 * time.Millisecond
	// idealPart of its ideal run time, as a divisor, is what a job can wait for a leader that has been missing for longer.
	idealPart = 4
	// pingEvery keeps a stream from being silent, which counts as broken.
	pingEvery = 100 * time.Millisecond
)

// machine is the control state of a requester.
type machine struct {
	last    uint64
	calls   map[uint64]*pending
	callers map[chan<- answer]*pending
	box     *looper.Outbox[*encoder.QueueCalls] // nil without a stream
	lostAt  time.Time                           // since when there is no stream; zero with one
	pingAt  time.Time
	actions []action
}

func newMachine() *machine {
	return &machine{calls: make(map[uint64]*pending), callers: make(map[chan<- answer]*pending)}
}

// Step handles one event.
func (m *machine) Step(now time.Time, e event) []action {
	m.actions = nil
	switch e := e.(type) {
	case asked:
		if m.box == nil && m.lostAt.IsZero() {
			m.lostAt = now // the first call of this process
		}
		m.last++
		call := &pending{sequence: m.last, call: e.call, asked: now, deadline: e.deadline, answered: e.answered}
		m.calls[m.last], m.callers[e.answered] = call, call
		m.send(now, call)
	case left:
		m.leave(e.answered)
	case linked:
		m.box, m.pingAt, m.lostAt = e.box, now.Add(pingEvery), time.Time{}
		for _, sequence := range slices.Sorted(maps.Keys(m.calls)) {
			m.send(now, m.calls[sequence])
		}
	case unlinked:
		m.box, m.pingAt, m.lostAt = nil, time.Time{}, now
		for _, call := range m.calls {
			call.lost, call.open = call.lost || call.open, false
		}
	case replied:
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
		m.pingAt = now.Add(pingEvery)
		m.put(&encoder.QueueCalls{})
	}
	for _, sequence := range slices.Sorted(maps.Keys(m.calls)) {
		call := m.calls[sequence]
		switch {
		case !m.until(call).After(now):
			m.abandon(call)
			err := ErrUnsent
			if call.sent {
				err = ErrUnanswered
			}
			m.end(call, answer{err: err})
		case !call.again.IsZero() && !call.again.After(now):
			m.send(now, call)
		}
	}
	return m.actions
}

// Next returns the earliest deadline.
func (m *machine) Next() time.Time {
	next := m.pingAt
	for _, call := range m.calls {
		for _, at := range []time.Time{m.until(call), call.again} {
			if !at.IsZero() && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}

// until returns when a call is given up. Without a leader for a while most calls could not end in time any more, and
// their callers are better told at once.
func (m *machine) until(call *pending) time.Time {
	if m.lostAt.IsZero() {
		return call.deadline
	}
	ideal := call.call.Job.Ideal()
	giveUp := m.lostAt.Add(leaderWithin)
	switch soon := call.asked.Add(ideal / idealPart); {
	case call.call.Verb != specifier.SubmitQueued:
		giveUp = later(giveUp, call.asked.Add(leaderWithin))
	case call.lost:
		giveUp = giveUp.Add(ideal) // its tasks may be running
	default:
		giveUp = later(giveUp, soon)
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
	if m.box != nil {
		m.actions = append(m.actions, action{box: m.box, message: message})
	}
}

// send passes a call on, with the time that its caller still waits.
func (m *machine) send(now time.Time, call *pending) {
	call.again = time.Time{}
	if m.box == nil {
		return
	}
	call.sent, call.open = true, true
	call.call.TimeLeft, call.call.Age = call.deadline.Sub(now), now.Sub(call.asked)
	m.put(&encoder.QueueCalls{Items: []*encoder.QueueCall{encoder.EncodeQueueCall(call.sequence, call.call)}})
}

func (m *machine) reply(now time.Time, reply *encoder.QueueReply) {
	call := m.calls[reply.Sequence]
	if call == nil {
		return
	}
	call.open = false
	decoded := encoder.DecodeQueueReply(reply)
	if decoded.Result == specifier.QueueUnavailable && call.call.Verb != specifier.GetManifest {
		call.again = now.Add(againAfter)
		return
	}
	if decoded.Result == specifier.QueueRefused && call.lost {
		// The controller that refuses does not know what an earlier one has started.
		decoded.Result = specifier.QueueExpired
	}
	m.end(call, answer{reply: decoded})
}

func (m *machine) end(call *pending, outcome answer) {
	delete(m.calls, call.sequence)
	delete(m.callers, call.answered)
	m.actions = append(m.actions, action{answered: call.answered, answer: outcome})
}

// leave forgets a call that nobody waits for.
func (m *machine) leave(answered chan<- answer) {
	call := m.callers[answered]
	if call == nil {
		return
	}
	m.abandon(call)
	delete(m.calls, call.sequence)
	delete(m.callers, answered)
}

// abandon tells the controller that a submission's caller is gone.
func (m *machine) abandon(call *pending) {
	if call.sent && call.call.Verb == specifier.SubmitQueued {
		m.put(&encoder.QueueCalls{Items: []*encoder.QueueCall{{Sequence: call.sequence, Verb: uint32(specifier.AbandonQueued)}}})
	}
}
