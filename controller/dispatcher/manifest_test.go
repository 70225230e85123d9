package dispatcher

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// rejectManifest proposes a manifest that the log rejects, and returns the reply to its caller.
func (f *fixture) rejectManifest(tooLarge bool) specifier.QueueReply {
	f.t.Helper()
	f.actions = f.d.Step(f.now, CallReceived{Stream: caller, Sequence: 7,
		Call: specifier.QueueCall{Verb: specifier.PutManifest, Manifest: &specifier.Manifest{Version: 2}}})
	proposed := find[Propose](f.actions)
	must.SliceLen(f.t, 1, proposed)
	f.step(Rejected{Command: proposed[0].Command, TooLarge: tooLarge})
	replies := find[Reply](f.actions)
	must.SliceLen(f.t, 1, replies)
	return replies[0].Reply
}

// Guards against an operator who is told again and again to retry a manifest that the log never takes, and against one who is refused for
// good while the log only waits for a snapshot.
func TestManifestThatTheLogRejected(t *testing.T) {
	t.Run("too large", func(t *testing.T) {
		must.Eq(t, specifier.QueueInvalid, newFixture(t, 0).rejectManifest(true).Result)
	})
	t.Run("not now", func(t *testing.T) {
		must.Eq(t, specifier.QueueUnavailable, newFixture(t, 0).rejectManifest(false).Result)
	})
}
