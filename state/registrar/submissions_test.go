package registrar

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a job that two entries run at the same time, or that runs after it was refused.
func TestSubmissions(t *testing.T) {
	runWithMembers(t, map[string]func(*fixture){
		"resend": func(f *fixture) {
			must.Eq(f.t, 1, f.mustDecide(specifier.Accepted, accept(1, firstEntry)).Epoch)
			must.Eq(f.t, 1, f.mustDecide(specifier.Accepted, accept(1, firstEntry)).Epoch)
		},
		"second entry": func(f *fixture) {
			f.mustDecide(specifier.Accepted, accept(1, firstEntry))
			decision := f.mustDecide(specifier.Attached, accept(1, secondEntry))
			must.Eq(f.t, firstEntry, decision.Owner)
			must.True(f.t, decision.OwnerAddr.IsValid())
		},
		"other body": func(f *fixture) {
			f.mustDecide(specifier.Accepted, accept(1, firstEntry))
			other := accept(1, firstEntry)
			other.Digest[0]++
			f.mustDecide(specifier.Conflict, other)
		},
		"unknown owner":  func(f *fixture) { f.mustDecide(specifier.Fenced, accept(1, identity("entry-1", 9))) },
		"agent as owner": func(f *fixture) { f.mustDecide(specifier.Fenced, accept(1, agent)) },
		"owner down": func(f *fixture) {
			f.mustDecide(specifier.Accepted, accept(1, firstEntry))
			f.mustDecide(specifier.Applied, specifier.EndMember{Identity: firstEntry})
			f.mustDecide(specifier.Fenced, accept(1, firstEntry))
			must.True(f.t, f.mustDecide(specifier.Attached, accept(1, secondEntry)).OwnerDown)
		},
		"owner replaced": func(f *fixture) {
			f.mustDecide(specifier.Accepted, accept(1, firstEntry))
			f.join(specifier.Entry, identity("entry-1", 8))
			decision := f.mustDecide(specifier.Attached, accept(1, secondEntry))
			must.True(f.t, decision.OwnerDown)
			must.False(f.t, decision.OwnerAddr.IsValid())
		},
		"stale": func(f *fixture) {
			f.mustDecide(specifier.Applied, change("r", "o", 0, "a"))
			outdated := accept(1, firstEntry)
			outdated.Revision = 0
			must.Eq(f.t, 1, f.mustDecide(specifier.Stale, outdated).Revision)
		},
		"full": func(f *fixture) {
			f.registrar.MaxSubmissions = 1
			f.mustDecide(specifier.Accepted, accept(1, firstEntry))
			f.mustDecide(specifier.Full, accept(2, firstEntry))
			f.mustDecide(specifier.Full, specifier.CancelJob{Job: specifier.JobID{2}})
			f.advance(time.Hour)
			f.mustDecide(specifier.Accepted, accept(2, firstEntry))
		},
		"released": func(f *fixture) {
			f.mustDecide(specifier.Accepted, accept(1, firstEntry))
			f.mustDecide(specifier.Applied, specifier.ReleaseJob{Job: specifier.JobID{1}, Owner: firstEntry, Epoch: 1})
			must.Eq(f.t, 2, f.mustDecide(specifier.Accepted, accept(1, secondEntry)).Epoch)
			f.mustDecide(specifier.Fenced, specifier.ReleaseJob{Job: specifier.JobID{1}, Owner: firstEntry, Epoch: 1})
			f.mustDecide(specifier.Fenced, finish(1, firstEntry, 1, specifier.TaskFailed))
		},
		"first answer": func(f *fixture) {
			f.mustDecide(specifier.Accepted, accept(1, firstEntry))
			f.mustDecide(specifier.Finished, finish(1, firstEntry, 1, specifier.TaskFailed))
			must.Eq(f.t, specifier.TaskFailed, f.mustDecide(specifier.Finished, finish(1, firstEntry, 1, specifier.TimedOut)).Answer.Reason)
			must.Eq(f.t, specifier.TaskFailed, f.mustDecide(specifier.Finished, accept(1, secondEntry)).Answer.Reason)
		},
	})
}

// Guards against a takeover that restarts tasks which may already have run on an agent that went
// Down. The new owner must get all agents that went Down since the job was accepted.
func TestTakeOver(t *testing.T) {
	endOwner := func(f *fixture) {
		f.mustDecide(specifier.Accepted, accept(1, firstEntry))
		f.mustDecide(specifier.Applied, specifier.EndMember{Identity: agent})
		f.mustDecide(specifier.Attached, takeOver(1, secondEntry, 1))
		f.mustDecide(specifier.Applied, specifier.EndMember{Identity: firstEntry})
	}
	runWithMembers(t, map[string]func(*fixture){
		"departed agents": func(f *fixture) {
			endOwner(f)
			decision := f.mustDecide(specifier.Accepted, takeOver(1, secondEntry, 1))
			must.Eq(f.t, 2, decision.Epoch)
			must.Eq(f.t, []specifier.Identity{agent}, decision.Departed)
			must.Eq(f.t, decision, f.mustDecide(specifier.Accepted, takeOver(1, secondEntry, 1)))
		},
		"departed in the batch of the acceptance": func(f *fixture) {
			f.registrar.Apply(9, Batch{Commands: []specifier.Command{specifier.EndMember{Identity: agent}, accept(1, firstEntry),
				specifier.EndMember{Identity: firstEntry}}})
			must.Eq(f.t, []specifier.Identity{agent}, f.mustDecide(specifier.Accepted, takeOver(1, secondEntry, 1)).Departed)
		},
		"less time left": func(f *fixture) {
			accepted := accept(1, firstEntry)
			accepted.TimeLeft = specifier.MaxTimeLeft
			f.mustDecide(specifier.Accepted, accepted)
			f.mustDecide(specifier.Applied, specifier.EndMember{Identity: firstEntry})
			f.mustDecide(specifier.Accepted, takeOver(1, secondEntry, 1))
			f.advance(specifier.MaxTimeLeft + specifier.KeyRetention - time.Nanosecond)
			must.Eq(f.t, 1, f.registrar.SubmissionCount())
			f.advance(10 * time.Second)
			must.Eq(f.t, 0, f.registrar.SubmissionCount())
		},
		"lost decision, then accept": func(f *fixture) {
			endOwner(f)
			f.mustDecide(specifier.Accepted, takeOver(1, secondEntry, 1))
			must.Eq(f.t, secondEntry, f.mustDecide(specifier.Attached, accept(1, secondEntry)).Owner)
		},
		"departures outlive a late takeover": func(f *fixture) {
			f.mustDecide(specifier.Accepted, accept(1, firstEntry))
			f.mustDecide(specifier.Applied, specifier.EndMember{Identity: agent})
			owners := []specifier.Identity{firstEntry, secondEntry, identity("entry-3", 5), identity("entry-4", 6)}
			for i, owner := range owners[1:] {
				f.advance(5 * time.Minute)
				f.apply(specifier.JoinMember{Member: member(specifier.Entry, owner)})
				f.mustDecide(specifier.Applied, specifier.EndMember{Identity: owners[i]})
				command := takeOver(1, owner, specifier.Epoch(i+1))
				command.TimeLeft = specifier.MaxTimeLeft
				must.Eq(f.t, []specifier.Identity{agent}, f.mustDecide(specifier.Accepted, command).Departed)
				f.advance(50 * time.Minute)
			}
		},
		"released": func(f *fixture) {
			f.mustDecide(specifier.Accepted, accept(1, firstEntry))
			f.mustDecide(specifier.Applied, specifier.ReleaseJob{Job: specifier.JobID{1}, Owner: firstEntry, Epoch: 1})
			must.Eq(f.t, 2, f.mustDecide(specifier.Accepted, takeOver(1, secondEntry, 1)).Epoch)
		},
	})
}

// Guards against a cancelled job that runs because its submission arrives after the cancellation.
func TestCancel(t *testing.T) {
	cancel := specifier.CancelJob{Job: specifier.JobID{1}}
	runWithMembers(t, map[string]func(*fixture){
		"before acceptance": func(f *fixture) {
			f.mustDecide(specifier.Finished, cancel)
			f.mustDecide(specifier.Finished, cancel)
			f.advance(specifier.MaxTimeLeft)
			decision := f.mustDecide(specifier.Finished, accept(1, firstEntry))
			must.Eq(f.t, specifier.NotRun, decision.Answer.Outcome)
			must.Eq(f.t, specifier.Cancelled, decision.Answer.Reason)
			f.mustDecide(specifier.Finished, takeOver(1, firstEntry, 1))
			f.mustDecide(specifier.Fenced, finish(1, specifier.Identity{}, 0, specifier.TaskFailed))
		},
		"owned": func(f *fixture) {
			f.mustDecide(specifier.Accepted, accept(1, firstEntry))
			must.Eq(f.t, firstEntry, f.mustDecide(specifier.Attached, cancel).Owner)
		},
		"released": func(f *fixture) {
			f.mustDecide(specifier.Accepted, accept(1, firstEntry))
			f.mustDecide(specifier.Applied, specifier.ReleaseJob{Job: specifier.JobID{1}, Owner: firstEntry, Epoch: 1})
			f.mustDecide(specifier.Finished, cancel)
			f.mustDecide(specifier.Finished, accept(1, secondEntry))
		},
	})
}
