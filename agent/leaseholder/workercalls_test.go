package leaseholder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// immediatePolls returns the immediate polls of the last step.
func (f *fixture) immediatePolls() []Poll {
	var polls []Poll
	for _, poll := range find[Poll](f.actions) {
		if poll.Immediate {
			polls = append(polls, poll)
		}
	}
	return polls
}

// Guards against a worker that answers no poll in time, so that its leases end, because each of many starts without an answer causes calls of
// its own.
func TestCallsAfterManyUnansweredStarts(t *testing.T) {
	unanswered := func(t *testing.T) *fixture { // three starts have had no answer
		f := newFixture(t)
		var polls []Poll
		for run := range uint64(3) {
			f.order(run + 1)
			f.step(Started{Answer: Answer{CalledAt: f.now, Lost: true}, Key: key(run + 1)})
			polls = append(polls, f.immediatePolls()...)
		}
		must.SliceLen(t, 1, polls)
		return f
	}
	answer := func(f *fixture, completeness Completeness) {
		f.now = f.now.Add(time.Millisecond)
		f.step(PollResult{Answer: f.answer(), Immediate: true, Token: f.holder.workerToken(), Completeness: completeness})
	}
	t.Run("one poll at a time", func(t *testing.T) {
		f := unanswered(t)
		answer(f, ListComplete)
		must.SliceLen(t, 1, f.immediatePolls()) // for the starts that were lost during the first one
		answer(f, ListComplete)
		must.SliceEmpty(t, f.immediatePolls())
	})
	t.Run("a poll without an answer", func(t *testing.T) { // guards against a poll that is never repeated
		f := unanswered(t)
		f.step(PollResult{Answer: Answer{CalledAt: f.now, Lost: true}, Immediate: true})
		must.SliceLen(t, 1, f.immediatePolls())
	})
	t.Run("a new token", func(t *testing.T) { // guards against a new leader that waits for a poll with the former token
		f := unanswered(t)
		f.step(OrderReceived{specifier.LeaseOrder{Token: 2}})
		must.SliceLen(t, 1, f.immediatePolls())
	})
	t.Run("a stop that was answered", func(t *testing.T) { // the run can't start any more, and the next lists tell whether it has
		f := unanswered(t)
		answer(f, ListCut)
		must.SliceLen(t, 3, find[Stop](f.actions))
		f.step(Stopped{Answer: f.answer(), Key: key(1)})
		f.now = f.now.Add(retryInterval)
		f.actions = f.holder.Expire(f.now)
		must.SliceEmpty(t, find[Stop](f.actions))
	})
}
