package requester

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

// desk drives a machine on a held clock.
type desk struct {
	t       *testing.T
	machine *machine
	now     time.Time
	box     *looper.Outbox[*encoder.QueueCalls]
	sent    []*encoder.QueueCall
	answers map[chan<- answer]answer
}

func newDesk(t *testing.T) *desk {
	return &desk{t: t, machine: newMachine(), now: time.Unix(1000, 0), answers: make(map[chan<- answer]answer)}
}

func (d *desk) step(e event) { d.take(d.machine.Step(d.now, e)) }

func (d *desk) take(actions []action) {
	for _, each := range actions {
		if each.answered != nil {
			d.answers[each.answered] = each.answer
			continue
		}
		d.sent = append(d.sent, each.message.Items...)
	}
}

func (d *desk) advance(span time.Duration) {
	d.now = d.now.Add(span)
	d.take(d.machine.Expire(d.now))
}

func (d *desk) link() {
	d.box = looper.NewOutbox[*encoder.QueueCalls]()
	d.step(linked{d.box})
}

func (d *desk) ask(verb specifier.QueueVerb) chan<- answer {
	answered := make(chan answer, 1)
	d.step(asked{call: specifier.QueueCall{Verb: verb}, deadline: d.now.Add(time.Second), answered: answered})
	return answered
}

func (d *desk) reply(sequence uint64, result specifier.QueueResult) {
	reply := encoder.EncodeQueueReply(sequence, specifier.QueueReply{Result: result})
	d.step(replied{&encoder.QueueReplies{Items: []*encoder.QueueReply{reply}}})
}

// mustAnswer compares the outcome of a call.
func (d *desk) mustAnswer(to chan<- answer, result specifier.QueueResult, err error) {
	d.t.Helper()
	got, ok := d.answers[to]
	must.True(d.t, ok)
	must.Eq(d.t, result, got.reply.Result)
	if err != nil {
		must.ErrorIs(d.t, got.err, err)
	}
}

// Guards against a refusal that says "not run" of a job that a former leader may have started.
func TestRefusalAfterALostStream(t *testing.T) {
	t.Run("a first refusal stands", func(t *testing.T) {
		d := newDesk(t)
		d.link()
		call := d.ask(specifier.SubmitQueued)
		d.reply(1, specifier.QueueRefused)
		d.mustAnswer(call, specifier.QueueRefused, nil)
	})
	t.Run("a refusal by the next leader does not", func(t *testing.T) {
		d := newDesk(t)
		d.link()
		call := d.ask(specifier.SubmitQueued)
		d.step(unlinked{})
		d.link()
		must.SliceLen(t, 2, d.sent)
		d.reply(1, specifier.QueueRefused)
		d.mustAnswer(call, specifier.QueueExpired, nil)
	})
	t.Run("a controller that could not tell has started nothing", func(t *testing.T) {
		d := newDesk(t)
		d.link()
		call := d.ask(specifier.SubmitQueued)
		d.reply(1, specifier.QueueUnavailable)
		d.step(unlinked{})
		d.link()
		d.advance(againAfter)
		d.reply(1, specifier.QueueRefused)
		d.mustAnswer(call, specifier.QueueRefused, nil)
	})
}

// Guards against "not run" at the deadline for a call that a controller may have acted on.
func TestDeadline(t *testing.T) {
	t.Run("unsent", func(t *testing.T) {
		d := newDesk(t)
		call := d.ask(specifier.SubmitQueued)
		d.advance(time.Second)
		d.mustAnswer(call, 0, ErrUnsent)
	})
	t.Run("sent", func(t *testing.T) {
		d := newDesk(t)
		d.link()
		call := d.ask(specifier.SubmitQueued)
		d.advance(time.Second)
		d.mustAnswer(call, 0, ErrUnanswered)
		must.Eq(t, uint32(specifier.AbandonQueued), d.sent[len(d.sent)-1].Verb)
	})
}

func TestWithoutALeader(t *testing.T) {
	job := specifier.QueuedJob{Steps: []specifier.Step{{Count: 1, Estimate: 200 * time.Millisecond}}}
	submit := func(d *desk) chan<- answer {
		answered := make(chan answer, 1)
		d.step(asked{call: specifier.QueueCall{Verb: specifier.SubmitQueued, Job: job}, deadline: d.now.Add(10 * time.Second), answered: answered})
		return answered
	}
	t.Run("a job at the beginning", func(t *testing.T) { // guards against a refusal while the next leader is being elected
		d := newDesk(t)
		d.link()
		d.step(unlinked{})
		call := submit(d)
		d.advance(leaderWithin - time.Millisecond)
		must.MapEmpty(t, d.answers)
		d.advance(time.Millisecond)
		d.mustAnswer(call, 0, ErrUnsent)
	})
	t.Run("a job after a while", func(t *testing.T) { // guards against jobs that are held though no leader is likely to come in time
		d := newDesk(t)
		submit(d)
		d.advance(leaderWithin)
		call := submit(d)
		d.advance(job.Ideal() / idealPart)
		d.mustAnswer(call, 0, ErrUnsent)
	})
	t.Run("a job that may be running", func(t *testing.T) { // guards against work that goes on and whose caller is sent away
		d := newDesk(t)
		d.link()
		call := submit(d)
		d.step(unlinked{})
		d.advance(leaderWithin + job.Ideal() - time.Millisecond)
		must.MapEmpty(t, d.answers)
		d.advance(time.Millisecond)
		d.mustAnswer(call, 0, ErrUnanswered)
	})
	t.Run("a change of the manifest", func(t *testing.T) { // guards against an operator who is sent away at once
		d := newDesk(t)
		submit(d)
		d.advance(leaderWithin)
		d.ask(specifier.PutManifest)
		before := len(d.answers)
		d.advance(leaderWithin - time.Millisecond)
		must.MapLen(t, before, d.answers)
	})
}
