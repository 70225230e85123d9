package requester

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

// fixture drives a machine with a manual clock.
type fixture struct {
	t       *testing.T
	machine *machine
	now     time.Time
	outbox  *looper.Outbox[*encoder.QueueCalls]
	sent    []*encoder.QueueCall
	answers map[chan<- answer]answer
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, machine: newMachine(), now: time.Unix(1000, 0), answers: make(map[chan<- answer]answer)}
}

func (f *fixture) step(e event) { f.handle(f.machine.Step(f.now, e)) }

func (f *fixture) handle(actions []action) {
	for _, each := range actions {
		if each.replyTo != nil {
			f.answers[each.replyTo] = each.answer
			continue
		}
		f.sent = append(f.sent, each.message.Items...)
	}
}

func (f *fixture) advance(span time.Duration) {
	f.now = f.now.Add(span)
	f.handle(f.machine.Expire(f.now))
}

func (f *fixture) connect() {
	f.outbox = looper.NewOutbox[*encoder.QueueCalls]()
	f.step(connected{f.outbox})
}

func (f *fixture) call(verb specifier.QueueVerb) chan<- answer {
	answered := make(chan answer, 1)
	f.step(callStarted{call: specifier.QueueCall{Verb: verb}, deadline: f.now.Add(time.Second), replyTo: answered})
	return answered
}

func (f *fixture) reply(sequence uint64, result specifier.QueueResult) {
	reply := encoder.EncodeQueueReply(sequence, specifier.QueueReply{Result: result})
	f.step(repliesReceived{&encoder.QueueReplies{Items: []*encoder.QueueReply{reply}}})
}

// mustAnswer checks the outcome of a call.
func (f *fixture) mustAnswer(to chan<- answer, result specifier.QueueResult, err error) {
	f.t.Helper()
	got, ok := f.answers[to]
	must.True(f.t, ok)
	must.Eq(f.t, result, got.reply.Result)
	if err != nil {
		must.ErrorIs(f.t, got.err, err)
	}
}

// TestRefusalAfterALostStream guards against reporting "not run" for a job that a former leader may have started.
func TestRefusalAfterALostStream(t *testing.T) {
	t.Run("a first refusal stands", func(t *testing.T) {
		f := newFixture(t)
		f.connect()
		call := f.call(specifier.SubmitQueued)
		f.reply(1, specifier.QueueRefused)
		f.mustAnswer(call, specifier.QueueRefused, nil)
	})
	t.Run("a refusal by the next leader does not", func(t *testing.T) {
		f := newFixture(t)
		f.connect()
		call := f.call(specifier.SubmitQueued)
		f.step(disconnected{})
		f.connect()
		must.SliceLen(t, 2, f.sent)
		f.reply(1, specifier.QueueRefused)
		f.mustAnswer(call, specifier.QueueExpired, nil)
	})
	t.Run("an unavailable controller has started nothing", func(t *testing.T) {
		f := newFixture(t)
		f.connect()
		call := f.call(specifier.SubmitQueued)
		f.reply(1, specifier.QueueUnavailable)
		f.step(disconnected{})
		f.connect()
		f.advance(retryDelay)
		f.reply(1, specifier.QueueRefused)
		f.mustAnswer(call, specifier.QueueRefused, nil)
	})
}

// TestDenialAfterALostStream guards against telling a caller that its call had no effect because the next leader denies it: the manifest
// may have changed since a former leader started the job or cancelled it.
func TestDenialAfterALostStream(t *testing.T) {
	for _, each := range []struct {
		name    string
		verb    specifier.QueueVerb
		lost    bool // the stream ends before the reply
		replied specifier.QueueResult
		want    specifier.QueueResult
	}{
		{"a job whose queue was removed", specifier.SubmitQueued, true, specifier.QueueNotFound, specifier.QueueExpired},
		{"a job whose path a shorter prefix has taken over", specifier.SubmitQueued, true, specifier.QueueInvalid, specifier.QueueExpired},
		{"a cancellation whose queue was removed", specifier.CancelQueued, true, specifier.QueueNotFound, specifier.QueueExpired},
		{"a first denial of a job stands", specifier.SubmitQueued, false, specifier.QueueNotFound, specifier.QueueNotFound},
		{"a job that is gone is gone", specifier.CancelQueued, true, specifier.JobNotFound, specifier.JobNotFound},
		{"a query has no effect", specifier.QueryQueued, true, specifier.QueueNotFound, specifier.QueueNotFound},
	} {
		t.Run(each.name, func(t *testing.T) {
			f := newFixture(t)
			f.connect()
			call := f.call(each.verb)
			if each.lost {
				f.step(disconnected{})
				f.connect()
			}
			f.reply(1, each.replied)
			f.mustAnswer(call, each.want, nil)
		})
	}
}

// TestDeadline guards against reporting "not run" at the deadline for a call that a controller may have handled.
func TestDeadline(t *testing.T) {
	t.Run("unsent", func(t *testing.T) {
		f := newFixture(t)
		call := f.call(specifier.SubmitQueued)
		f.advance(time.Second)
		f.mustAnswer(call, 0, ErrUnsent)
	})
	t.Run("sent", func(t *testing.T) {
		f := newFixture(t)
		f.connect()
		call := f.call(specifier.SubmitQueued)
		f.advance(time.Second)
		f.mustAnswer(call, 0, ErrUnanswered)
		must.Eq(t, uint32(specifier.AbandonQueued), f.sent[len(f.sent)-1].Verb)
	})
}

// TestWithoutALeader checks how long calls wait while there is no leader.
func TestWithoutALeader(t *testing.T) {
	job := specifier.QueuedJob{Steps: []specifier.Step{{Count: 1, Estimate: 200 * time.Millisecond}}}
	submit := func(f *fixture) chan<- answer {
		answered := make(chan answer, 1)
		f.step(callStarted{call: specifier.QueueCall{Verb: specifier.SubmitQueued, Job: job}, deadline: f.now.Add(10 * time.Second), replyTo: answered})
		return answered
	}
	t.Run("a job soon after the loss", func(t *testing.T) { // guards against failing a call while the next leader is being elected
		f := newFixture(t)
		f.connect()
		f.step(disconnected{})
		call := submit(f)
		f.advance(leaderTimeout - time.Millisecond)
		must.MapEmpty(t, f.answers)
		f.advance(time.Millisecond)
		f.mustAnswer(call, 0, ErrUnsent)
	})
	t.Run("a job long after the loss", func(t *testing.T) { // guards against keeping jobs although no leader is likely to be elected in time
		f := newFixture(t)
		submit(f)
		f.advance(leaderTimeout)
		call := submit(f)
		f.advance(job.IdealRunTime() / idealDivisor)
		f.mustAnswer(call, 0, ErrUnsent)
	})
	t.Run("a job that may be running", func(t *testing.T) { // guards against failing the call of a job that may still be running
		f := newFixture(t)
		f.connect()
		call := submit(f)
		f.step(disconnected{})
		f.advance(leaderTimeout + job.IdealRunTime() - time.Millisecond)
		must.MapEmpty(t, f.answers)
		f.advance(time.Millisecond)
		f.mustAnswer(call, 0, ErrUnanswered)
	})
	t.Run("a change of the manifest", func(t *testing.T) { // guards against failing an operator's call immediately
		f := newFixture(t)
		submit(f)
		f.advance(leaderTimeout)
		f.call(specifier.PutManifest)
		before := len(f.answers)
		f.advance(leaderTimeout - time.Millisecond)
		must.MapLen(t, before, f.answers)
	})
}

func TestRelay(t *testing.T) {
	t.Run("the first message on each stream announces it", func(t *testing.T) {
		// Guards against a new leader that knows no relays.
		f := newFixture(t)
		f.machine.relay = "127.0.0.9:7001"
		f.call(specifier.SubmitQueued)
		for range 2 {
			actions := f.machine.Step(f.now, connected{looper.NewOutbox[*encoder.QueueCalls]()})
			must.Eq(t, "127.0.0.9:7001", merge([]*encoder.QueueCalls{actions[0].message, actions[1].message})[0].Relay)
			f.step(disconnected{})
		}
	})
	t.Run("a process without one sends no further message", func(t *testing.T) {
		f := newFixture(t)
		must.SliceEmpty(t, f.machine.Step(f.now, connected{looper.NewOutbox[*encoder.QueueCalls]()}))
	})
}
