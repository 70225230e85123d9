package registrar

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"oleandertally/core/specifier"
)

// drawCommand draws a command on a few jobs, members and request IDs, so that commands affect each other.
func drawCommand(t *rapid.T) specifier.Command {
	job := rapid.SampledFrom([]byte{1, 1, 1, 2}).Draw(t, "job")
	owner := identity(rapid.SampledFrom([]string{"entry-1", "entry-2"}).Draw(t, "entry"),
		rapid.SampledFrom([]uint64{1, 1, 1, 1, 2, 3}).Draw(t, "incarnation"))
	epoch := rapid.SampledFrom([]specifier.Epoch{1, 1, 1, 2, 2, 3}).Draw(t, "epoch")
	timeLeft := rapid.SampledFrom([]time.Duration{0, 0, time.Minute, time.Hour}).Draw(t, "left")
	switch rapid.IntRange(0, 14).Draw(t, "command") {
	case 0, 1:
		command := takeOver(job, owner, epoch)
		command.TimeLeft = timeLeft
		return command
	case 2, 3:
		return finish(job, owner, epoch, rapid.SampledFrom([]specifier.Reason{specifier.TaskFailed, specifier.TimedOut}).Draw(t, "reason"))
	case 4:
		return specifier.ReleaseJob{Job: specifier.JobID{job}, Owner: owner, Epoch: epoch}
	case 5:
		return specifier.CancelJob{Job: specifier.JobID{job}}
	case 6:
		return specifier.JoinMember{Member: member(specifier.Entry, owner)}
	case 7, 8:
		return specifier.EndMember{Identity: owner}
	case 9:
		id := fmt.Sprint(rapid.IntRange(1, 5).Draw(t, "request"))
		return change(id, owner.Name, specifier.Revision(rapid.IntRange(0, 4).Draw(t, "from")), "a")
	case 10:
		return specifier.DrainMember{Name: owner.Name, Draining: rapid.Bool().Draw(t, "draining")}
	}
	command := accept(job, owner)
	command.Digest[1] = rapid.SampledFrom([]byte{0, 0, 0, 1}).Draw(t, "body")
	command.Revision = rapid.SampledFrom([]specifier.Revision{1, 100, 100}).Draw(t, "revision")
	command.TimeLeft = timeLeft
	return command
}

// drawBatches draws batches that follow the join of two entries. Some advances of the clock end
// just before, at or after the expiry of a submission.
func drawBatches(t *rapid.T) []Batch {
	joins := Batch{Commands: []specifier.Command{specifier.JoinMember{Member: member(specifier.Entry, identity("entry-1", 1))},
		specifier.JoinMember{Member: member(specifier.Entry, identity("entry-2", 1))}}}
	return append([]Batch{joins}, rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Batch {
		seconds := rapid.SampledFrom([]int{0, 0, 0, 0, 1, 60, 599, 602, 4300}).Draw(t, "advance")
		return Batch{Advance: time.Duration(seconds) * time.Second,
			Commands: rapid.SliceOfN(rapid.Custom(drawCommand), 0, 6).Draw(t, "commands")}
	}), 1, 40).Draw(t, "batches")...)
}

// Guards against replicas that decide differently, also when one of them starts from a snapshot.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batches := drawBatches(t)
		restoreAt := rapid.IntRange(0, len(batches)).Draw(t, "snapshot at")
		first, second, restored := New(3), New(3), New(3)
		for i, batch := range batches {
			if i == restoreAt {
				restored = restoreFromImage(t, restored)
			}
			index := uint64(i) + 1
			decisions := first.Apply(index, batch)
			must.Eq(t, decisions, second.Apply(index, batch))
			must.Eq(t, decisions, restored.Apply(index, batch))
		}
		mustEncodeSame(t, first, second)
		mustEncodeSame(t, first, restored)
		mustEncodeSame(t, first, restoreFromImage(t, first))
	})
}

// decisionHistory records the guarantees of earlier decisions and checks each new decision against them.
type decisionHistory struct {
	registrar *Registrar
	jobs      map[specifier.JobID]*guarantees
	appliedAt map[string]time.Time // by request ID, on the clock of the log
	revision  specifier.Revision
}

// guarantees is what must hold for one job until its submission expires.
type guarantees struct {
	keepUntil time.Time // on the clock of the log
	epoch     specifier.Epoch
	owners    map[specifier.Epoch]specifier.Identity
	answer    *specifier.Answer
}

// removeExpired removes the jobs that the registrar has removed and asserts that they had expired.
func (h *decisionHistory) removeExpired(t *rapid.T) {
	for id, job := range h.jobs {
		if _, stored := h.registrar.submissions[id]; !stored {
			must.False(t, job.keepUntil.After(h.registrar.now))
			delete(h.jobs, id)
		}
	}
}

func (h *decisionHistory) check(t *rapid.T, command specifier.Command, decision specifier.Decision) {
	switch command := command.(type) {
	case specifier.AcceptJob:
		h.checkJob(t, command.Job, command.Owner, command.TimeLeft, decision)
	case specifier.TakeOverJob:
		h.checkJob(t, command.Job, command.Owner, command.TimeLeft, decision)
	case specifier.FinishJob:
		h.checkJob(t, command.Job, command.Owner, 0, decision)
	case specifier.CancelJob:
		h.checkJob(t, command.Job, specifier.Identity{}, specifier.MaxTimeLeft, decision)
	case specifier.ChangeConfiguration:
		h.checkChange(t, command, decision)
	}
	must.Eq(t, h.revision, h.registrar.configuration.Revision)
}

// checkChange asserts that a new revision comes from a request ID that was not applied within RequestRetention.
func (h *decisionHistory) checkChange(t *rapid.T, command specifier.ChangeConfiguration, decision specifier.Decision) {
	if h.registrar.configuration.Revision == h.revision {
		return
	}
	h.revision++
	must.Eq(t, specifier.Applied, decision.Verdict)
	must.Eq(t, command.From+1, h.revision)
	if before, ok := h.appliedAt[command.RequestID]; ok {
		must.GreaterEq(t, specifier.RequestRetention, h.registrar.now.Sub(before))
	}
	h.appliedAt[command.RequestID] = h.registrar.now
}

func (h *decisionHistory) checkJob(t *rapid.T, id specifier.JobID, owner specifier.Identity, timeLeft time.Duration, decision specifier.Decision) {
	job := h.jobs[id]
	if job == nil {
		job = &guarantees{owners: map[specifier.Epoch]specifier.Identity{}}
		h.jobs[id] = job
	}
	switch decision.Verdict {
	case specifier.Accepted:
		must.GreaterEq(t, job.epoch, decision.Epoch)
		job.epoch = decision.Epoch
		if before, ok := job.owners[decision.Epoch]; ok {
			must.Eq(t, before, owner)
		} else if until := h.registrar.now.Add(timeLeft + specifier.KeyRetention); until.After(job.keepUntil) {
			job.keepUntil = until
		}
		job.owners[decision.Epoch] = owner
	case specifier.Finished:
		if job.answer == nil && len(job.owners) == 0 { // cancelled before it was accepted
			job.keepUntil = h.registrar.now.Add(timeLeft + specifier.KeyRetention)
		}
		if job.answer != nil {
			must.Eq(t, *job.answer, decision.Answer)
		}
		job.answer = &decision.Answer
	case specifier.Attached:
		must.Eq(t, job.owners[decision.Epoch], decision.Owner)
	}
}

// Guards against a decision that contradicts an earlier one: two owners in one epoch, an epoch that
// decreases, an answer that changes, a submission that expires early, a request that is applied
// twice, a revision that decreases.
func TestGuaranteesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &decisionHistory{registrar: New(3), jobs: map[specifier.JobID]*guarantees{}, appliedAt: map[string]time.Time{}}
		for i, batch := range drawBatches(t) {
			h.registrar.Apply(uint64(i), Batch{Advance: batch.Advance})
			h.removeExpired(t)
			for _, command := range batch.Commands {
				decision := h.registrar.Apply(uint64(i), Batch{Commands: []specifier.Command{command}})[0]
				h.check(t, command, decision)
			}
		}
	})
}

// Guards against a damaged or malicious snapshot that causes a panic or is loaded in part.
func FuzzDecode(f *testing.F) {
	populated := newFixture(f)
	populated.join(specifier.Entry, firstEntry)
	populated.mustDecide(specifier.Accepted, accept(1, firstEntry))
	populated.mustDecide(specifier.Finished, finish(1, firstEntry, 1, specifier.TaskFailed))
	populated.mustDecide(specifier.Finished, specifier.CancelJob{Job: specifier.JobID{2}})
	populated.mustDecide(specifier.Applied, change("r", "o", 0, "a"))
	image := encodeImage(f, populated.registrar)
	f.Add(image)
	f.Add(image[:len(image)-1])
	f.Add(append(image[:len(image):len(image)], 0))
	f.Fuzz(func(t *testing.T, raw []byte) {
		decoded, err := Decode(bytes.NewReader(raw), 100)
		if err == nil {
			mustEncodeSame(t, decoded, restoreFromImage(t, decoded))
		}
	})
}
