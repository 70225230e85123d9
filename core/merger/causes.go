package merger

import (
	"maps"
	"slices"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// causes finds the links between events of different processes. The events are sorted by
// process and sequence number; those of one process follow each other without a link.
//
// Only links that hold whatever was lost on the way are kept. Messages can be lost and sent
// again, so the n-th event that a message caused comes after at least n sends; more receipts
// than sends mean that events are missing, and then nothing is concluded.
type causes struct {
	events   []recorder.Event
	subjects map[subject][]int
	links    []Link
}

// findLinks returns the links between events.
func findLinks(events []recorder.Event) []Link {
	c := &causes{events: events, subjects: make(map[subject][]int)}
	tasks := make(map[specifier.TaskKey]bool)
	jobs := make(map[specifier.JobID]bool)
	for i, event := range events {
		s := subject{job: event.Job, task: event.Task, kind: event.Kind}
		c.subjects[s] = append(c.subjects[s], i)
		jobs[event.Job] = true
		if event.Task != "" {
			tasks[specifier.TaskKey{Job: event.Job, Task: event.Task}] = true
		}
	}
	for key := range tasks {
		c.assignments(key)
		c.returns(key)
		c.completions(key)
	}
	for job := range jobs {
		c.ownership(job)
		c.fences(job)
		c.attachments(job)
	}
	slices.SortFunc(c.links, func(a, b Link) int { return (a.From-b.From)*len(events) + a.To - b.To })
	return slices.Compact(c.links)
}

func (c *causes) add(from, to int) {
	if c.events[from].Process != c.events[to].Process {
		c.links = append(c.links, Link{From: from, To: to})
	}
}

// pair links the n-th cause with the n-th effect.
func (c *causes) pair(from, to []int) {
	if len(to) > len(from) {
		return
	}
	for n, effect := range to {
		c.add(from[n], effect)
	}
}

// of returns the events about key of the given kinds, in the order of all events.
func (c *causes) of(key specifier.TaskKey, kinds ...recorder.Kind) []int {
	var found []int
	for _, kind := range kinds {
		found = append(found, c.subjects[subject{job: key.Job, task: key.Task, kind: kind}]...)
	}
	slices.Sort(found)
	return found
}

func (c *causes) ofJob(job specifier.JobID, kinds ...recorder.Kind) []int {
	return c.of(specifier.TaskKey{Job: job}, kinds...)
}

// where keeps the events for which keep holds.
func (c *causes) where(indexes []int, keep func(recorder.Event) bool) []int {
	var kept []int
	for _, i := range indexes {
		if keep(c.events[i]) {
			kept = append(kept, i)
		}
	}
	return kept
}

// byRun splits events by process and epoch, in the order of all events.
func (c *causes) byRun(indexes []int) [][]int {
	type run struct {
		process string
		epoch   specifier.Epoch
	}
	runs := make(map[run][]int)
	for _, i := range indexes {
		r := run{process: c.events[i].Process, epoch: c.events[i].Epoch}
		runs[r] = append(runs[r], i)
	}
	return slices.SortedFunc(maps.Values(runs), func(a, b []int) int { return a[0] - b[0] })
}
