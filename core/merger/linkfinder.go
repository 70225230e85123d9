package merger

import (
	"maps"
	"slices"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// linkFinder finds the links between events of different processes. The events are sorted by process and sequence
// number. Events of one process need no links, because their sequence numbers order them.
//
// A link is added only if it is correct no matter which messages were lost. Messages can be lost and sent again, and the
// events do not show which send arrived, but at least n sends precede the n-th receipt. The n-th receipt is therefore
// linked to the n-th send. More receipts than sends mean that events are missing, and then no link is added.
type linkFinder struct {
	events   []recorder.Event
	subjects map[subject][]int
	links    []Link
}

// findLinks returns the links between events of different processes.
func findLinks(events []recorder.Event) []Link {
	f := &linkFinder{events: events, subjects: make(map[subject][]int)}
	tasks := make(map[specifier.TaskKey]bool)
	jobs := make(map[specifier.JobID]bool)
	for i, event := range events {
		s := subject{job: event.Job, task: event.Task, kind: event.Kind}
		f.subjects[s] = append(f.subjects[s], i)
		jobs[event.Job] = true
		if event.Task != "" {
			tasks[specifier.TaskKey{Job: event.Job, Task: event.Task}] = true
		}
	}
	for key := range tasks {
		f.linkAssignments(key)
		f.linkReturns(key)
		f.linkCompletions(key)
	}
	for job := range jobs {
		f.linkOwnership(job)
		f.linkFences(job)
		f.linkAttachments(job)
	}
	slices.SortFunc(f.links, func(a, b Link) int { return (a.From-b.From)*len(events) + a.To - b.To })
	return slices.Compact(f.links)
}

// add links two events, unless they are of the same process.
func (f *linkFinder) add(from, to int) {
	if f.events[from].Process != f.events[to].Process {
		f.links = append(f.links, Link{From: from, To: to})
	}
}

// pair links the n-th cause to the n-th effect. It adds nothing when there are more effects than causes.
func (f *linkFinder) pair(from, to []int) {
	if len(to) > len(from) {
		return
	}
	for n, effect := range to {
		f.add(from[n], effect)
	}
}

// eventsOf returns the indexes of the events of the given kinds about key, in ascending order.
func (f *linkFinder) eventsOf(key specifier.TaskKey, kinds ...recorder.Kind) []int {
	var found []int
	for _, kind := range kinds {
		found = append(found, f.subjects[subject{job: key.Job, task: key.Task, kind: kind}]...)
	}
	slices.Sort(found)
	return found
}

// jobEventsOf returns the indexes of the events of the given kinds about the job as a whole.
func (f *linkFinder) jobEventsOf(job specifier.JobID, kinds ...recorder.Kind) []int {
	return f.eventsOf(specifier.TaskKey{Job: job}, kinds...)
}

// filter returns the indexes of the events that match.
func (f *linkFinder) filter(indexes []int, matches func(recorder.Event) bool) []int {
	var kept []int
	for _, i := range indexes {
		if matches(f.events[i]) {
			kept = append(kept, i)
		}
	}
	return kept
}

// byProcessAndEpoch groups events by process and epoch. The groups are sorted by their first event.
func (f *linkFinder) byProcessAndEpoch(indexes []int) [][]int {
	type key struct {
		process string
		epoch   specifier.Epoch
	}
	groups := make(map[key][]int)
	for _, i := range indexes {
		k := key{process: f.events[i].Process, epoch: f.events[i].Epoch}
		groups[k] = append(groups[k], i)
	}
	return slices.SortedFunc(maps.Values(groups), func(a, b []int) int { return a[0] - b[0] })
}
