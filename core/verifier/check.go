package verifier

import (
	"cmp"
	"slices"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// Check returns every violation in events, which may be in any order and from any number of
// processes. Sequence numbers order the events of one process. Only NotRunIsTrue compares times
// of different processes, and only for a refusal before acceptance that is followed by a
// resubmission at another entry. For events of several hosts, align the clocks first (merger.Merge).
func Check(events []recorder.Event, facts Facts) []Violation {
	ordered := slices.Clone(events)
	slices.SortStableFunc(ordered, func(a, b recorder.Event) int {
		return cmp.Or(cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	losses := newLosses(ordered)
	var found []Violation
	for _, job := range group(ordered) {
		found = append(found, job.startOnce(facts.repeatable(job.id), losses)...)
		found = append(found, job.notRunIsTrue()...)
		found = append(found, job.completeIsWhole(facts.tasks(job.id))...)
		found = append(found, job.oneAnswer()...)
		found = append(found, job.noContradiction()...)
		found = append(found, job.fenceHolds()...)
	}
	return append(found, drainHolds(ordered, facts.DrainGracePeriod)...)
}

// group splits events by job, in the order in which jobs appear.
func group(events []recorder.Event) []*history {
	var all []*history
	byID := make(map[specifier.JobID]*history)
	for _, event := range events {
		if event.Job == (specifier.JobID{}) {
			continue
		}
		job := byID[event.Job]
		if job == nil {
			job = &history{id: event.Job}
			byID[event.Job] = job
			all = append(all, job)
		}
		job.events = append(job.events, event)
	}
	return all
}
