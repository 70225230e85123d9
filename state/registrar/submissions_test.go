package registrar

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a submission that two entries run, or that runs after it was refused.
func TestSubmissions(t *testing.T) {
	run(t, map[string]func(*bench){
		"resend": func(b *bench) {
			must.Eq(b.t, 1, b.want(specifier.Accepted, accept(1, first)).Epoch)
			must.Eq(b.t, 1, b.want(specifier.Accepted, accept(1, first)).Epoch)
		},
		"second entry": func(b *bench) {
			b.want(specifier.Accepted, accept(1, first))
			decision := b.want(specifier.Attached, accept(1, second))
			must.Eq(b.t, first, decision.Owner)
			must.True(b.t, decision.OwnerAddr.IsValid())
		},
		"other body": func(b *bench) {
			b.want(specifier.Accepted, accept(1, first))
			other := accept(1, first)
			other.Digest[0]++
			b.want(specifier.Conflict, other)
		},
		"unknown owner":  func(b *bench) { b.want(specifier.Fenced, accept(1, identity("entry-1", 9))) },
		"agent as owner": func(b *bench) { b.want(specifier.Fenced, accept(1, worker)) },
		"owner down": func(b *bench) {
			b.want(specifier.Accepted, accept(1, first))
			b.want(specifier.Applied, specifier.EndMember{Identity: first})
			b.want(specifier.Fenced, accept(1, first))
			must.True(b.t, b.want(specifier.Attached, accept(1, second)).OwnerDown)
		},
		"owner replaced": func(b *bench) {
			b.want(specifier.Accepted, accept(1, first))
			b.join(specifier.Entry, identity("entry-1", 8))
			decision := b.want(specifier.Attached, accept(1, second))
			must.True(b.t, decision.OwnerDown)
			must.False(b.t, decision.OwnerAddr.IsValid())
		},
		"stale": func(b *bench) {
			b.want(specifier.Applied, change("r", "o", 0, "a"))
			old := accept(1, first)
			old.Revision = 0
			must.Eq(b.t, 1, b.want(specifier.Stale, old).Revision)
		},
		"full": func(b *bench) {
			b.registrar.MaxSubmissions = 1
			b.want(specifier.Accepted, accept(1, first))
			b.want(specifier.Full, accept(2, first))
			b.want(specifier.Full, specifier.CancelJob{Job: specifier.JobID{2}})
			b.advance(time.Hour)
			b.want(specifier.Accepted, accept(2, first))
		},
		"released": func(b *bench) {
			b.want(specifier.Accepted, accept(1, first))
			b.want(specifier.Applied, specifier.ReleaseJob{Job: specifier.JobID{1}, Owner: first, Epoch: 1})
			must.Eq(b.t, 2, b.want(specifier.Accepted, accept(1, second)).Epoch)
			b.want(specifier.Fenced, specifier.ReleaseJob{Job: specifier.JobID{1}, Owner: first, Epoch: 1})
			b.want(specifier.Fenced, finish(1, first, 1, specifier.TaskFailed))
		},
		"first answer": func(b *bench) {
			b.want(specifier.Accepted, accept(1, first))
			b.want(specifier.Finished, finish(1, first, 1, specifier.TaskFailed))
			must.Eq(b.t, specifier.TaskFailed, b.want(specifier.Finished, finish(1, first, 1, specifier.TimedOut)).Answer.Reason)
			must.Eq(b.t, specifier.TaskFailed, b.want(specifier.Finished, accept(1, second)).Answer.Reason)
		},
	})
}

// Guards against a take-over that starts tasks again which may have run.
func TestTakeOver(t *testing.T) {
	down := func(b *bench) {
		b.want(specifier.Accepted, accept(1, first))
		b.want(specifier.Applied, specifier.EndMember{Identity: worker})
		b.want(specifier.Attached, takeOver(1, second, 1))
		b.want(specifier.Applied, specifier.EndMember{Identity: first})
	}
	run(t, map[string]func(*bench){
		"departed agents": func(b *bench) {
			down(b)
			decision := b.want(specifier.Accepted, takeOver(1, second, 1))
			must.Eq(b.t, 2, decision.Epoch)
			must.Eq(b.t, []specifier.Identity{worker}, decision.Departed)
			must.Eq(b.t, decision, b.want(specifier.Accepted, takeOver(1, second, 1)))
		},
		"departed in the batch of the acceptance": func(b *bench) {
			b.registrar.Apply(9, Batch{Commands: []specifier.Command{specifier.EndMember{Identity: worker}, accept(1, first),
				specifier.EndMember{Identity: first}}})
			must.Eq(b.t, []specifier.Identity{worker}, b.want(specifier.Accepted, takeOver(1, second, 1)).Departed)
		},
		"less time left": func(b *bench) {
			long := accept(1, first)
			long.TimeLeft = specifier.MaxTimeLeft
			b.want(specifier.Accepted, long)
			b.want(specifier.Applied, specifier.EndMember{Identity: first})
			b.want(specifier.Accepted, takeOver(1, second, 1))
			b.advance(specifier.MaxTimeLeft + specifier.KeyRetention - time.Nanosecond)
			must.Eq(b.t, 1, b.registrar.SubmissionCount())
			b.advance(10 * time.Second)
			must.Eq(b.t, 0, b.registrar.SubmissionCount())
		},
		"lost decision, then accept": func(b *bench) {
			down(b)
			b.want(specifier.Accepted, takeOver(1, second, 1))
			must.Eq(b.t, second, b.want(specifier.Attached, accept(1, second)).Owner)
		},
		"departures outlive a late take-over": func(b *bench) {
			b.want(specifier.Accepted, accept(1, first))
			b.want(specifier.Applied, specifier.EndMember{Identity: worker})
			owners := []specifier.Identity{first, second, identity("entry-3", 5), identity("entry-4", 6)}
			for i, owner := range owners[1:] {
				b.advance(5 * time.Minute)
				b.apply(specifier.JoinMember{Member: member(specifier.Entry, owner)})
				b.want(specifier.Applied, specifier.EndMember{Identity: owners[i]})
				command := takeOver(1, owner, specifier.Epoch(i+1))
				command.TimeLeft = specifier.MaxTimeLeft
				must.Eq(b.t, []specifier.Identity{worker}, b.want(specifier.Accepted, command).Departed)
				b.advance(50 * time.Minute)
			}
		},
		"released": func(b *bench) {
			b.want(specifier.Accepted, accept(1, first))
			b.want(specifier.Applied, specifier.ReleaseJob{Job: specifier.JobID{1}, Owner: first, Epoch: 1})
			must.Eq(b.t, 2, b.want(specifier.Accepted, takeOver(1, second, 1)).Epoch)
		},
	})
}

// Guards against a cancelled job that runs when its submission arrives late.
func TestCancel(t *testing.T) {
	cancel := specifier.CancelJob{Job: specifier.JobID{1}}
	run(t, map[string]func(*bench){
		"before acceptance": func(b *bench) {
			b.want(specifier.Finished, cancel)
			b.want(specifier.Finished, cancel)
			b.advance(specifier.MaxTimeLeft)
			decision := b.want(specifier.Finished, accept(1, first))
			must.Eq(b.t, specifier.NotRun, decision.Answer.Outcome)
			must.Eq(b.t, specifier.Cancelled, decision.Answer.Reason)
			b.want(specifier.Finished, takeOver(1, first, 1))
			b.want(specifier.Fenced, finish(1, specifier.Identity{}, 0, specifier.TaskFailed))
		},
		"owned": func(b *bench) {
			b.want(specifier.Accepted, accept(1, first))
			must.Eq(b.t, first, b.want(specifier.Attached, cancel).Owner)
		},
		"released": func(b *bench) {
			b.want(specifier.Accepted, accept(1, first))
			b.want(specifier.Applied, specifier.ReleaseJob{Job: specifier.JobID{1}, Owner: first, Epoch: 1})
			b.want(specifier.Finished, cancel)
			b.want(specifier.Finished, accept(1, second))
		},
	})
}
