package requester

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against one malformed job that ends the process while there is no leader: its steps refer to steps that do not exist.
func TestJobWithUnknownSteps(t *testing.T) {
	for _, after := range []int{-1, 0, 7} {
		f := newFixture(t)
		answered := make(chan answer, 1)
		job := specifier.QueuedJob{Steps: []specifier.Step{{Count: 1, Estimate: time.Second, After: []int{after}}}}
		f.step(callStarted{call: specifier.QueueCall{Verb: specifier.SubmitQueued, Job: job}, deadline: f.now.Add(time.Minute), replyTo: answered})
		f.advance(30 * time.Second)
		must.ErrorIs(t, f.answers[answered].err, ErrUnsent)
	}
}

// Guards against one call that can't be encoded and ends the stream that carries the calls of all callers.
func TestCallThatCannotBeEncoded(t *testing.T) {
	for name, call := range map[string]specifier.QueueCall{
		"path":    {Verb: specifier.QueryQueued, Host: "h", Path: "/q/\xff"},
		"host":    {Verb: specifier.QueryQueued, Host: "\xff", Path: "/q/a"},
		"content": {Verb: specifier.SubmitQueued, Host: "h", Path: "/q/a", Job: specifier.QueuedJob{ID: "a", Content: "\xff"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Requester{}
			_, err := r.Call(t.Context(), call, time.Unix(1, 0))
			must.True(t, errors.Is(err, ErrInvalid))
		})
	}
}
