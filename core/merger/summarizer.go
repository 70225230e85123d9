package merger

import (
	"cmp"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// summarizer finds the steps of one job. The steps point into entries; a step that is not recorded is nil.
type summarizer struct {
	entries []Entry
	owner   string
	agent   string
	task    string

	submitted, proposed, accepted, answered *Entry // at the owner
	assigned, returned                      *Entry // of the task, at the owner
	queued, started, ended, refused         *Entry // of the task, at the agent
}

func (s *summarizer) filter(matches func(Entry) bool) []Entry {
	var kept []Entry
	for _, entry := range s.entries {
		if matches(entry) {
			kept = append(kept, entry)
		}
	}
	return kept
}

// firstAfter returns the first matching entry of kind at process that follows after, or nil. A nil after or matches does
// not restrict the search.
func (s *summarizer) firstAfter(process string, after *Entry, kind recorder.Kind, matches func(Entry) bool) *Entry {
	for i, entry := range s.entries {
		if entry.Process == process && entry.Kind == kind && (after == nil || entry.Sequence > after.Sequence) &&
			(matches == nil || matches(entry)) {
			return &s.entries[i]
		}
	}
	return nil
}

// findOwner chooses the process that accepted the job or took it over under the highest epoch. When no process did, it
// chooses the first one to which the job was submitted.
func (s *summarizer) findOwner() {
	var epoch specifier.Epoch
	for i, entry := range s.entries {
		switch entry.Kind {
		case recorder.JobAccepted, recorder.JobTaken:
			if entry.Epoch >= epoch {
				epoch, s.owner, s.accepted = entry.Epoch, entry.Process, &s.entries[i]
			}
		case recorder.JobSubmitted:
			if s.owner == "" {
				s.owner = entry.Process
			}
		}
	}
	s.submitted = s.firstAfter(s.owner, s.previousAnswer(), recorder.JobSubmitted, nil)
	s.proposed = s.firstAfter(s.owner, s.submitted, recorder.JobProposed, nil)
	s.answered = s.firstAfter(s.owner, cmp.Or(s.accepted, s.submitted), recorder.JobAnswered, nil)
}

// previousAnswer returns the owner's last answer before the acceptance, or nil. Events before that answer belong to an
// earlier submission of the same key.
func (s *summarizer) previousAnswer() *Entry {
	if s.accepted == nil {
		return nil
	}
	return s.last(s.owner, recorder.JobAnswered, func(e Entry) bool { return e.Sequence < s.accepted.Sequence })
}

// findTask chooses the task that was returned last, or the task that was assigned last when none was returned.
func (s *summarizer) findTask() {
	for _, kind := range []recorder.Kind{recorder.TaskAssigned, recorder.TaskReturned} {
		for i, entry := range s.entries {
			if entry.Process == s.owner && entry.Kind == kind && s.accepted != nil && entry.Sequence > s.accepted.Sequence {
				s.task = entry.Task
				s.returned = nil
				if kind == recorder.TaskReturned {
					s.returned = &s.entries[i]
				}
			}
		}
	}
	if s.task != "" {
		s.followTask()
	}
}

// followTask finds the task's steps from its last assignment on, because earlier assignments were refused.
func (s *summarizer) followTask() {
	for i, entry := range s.entries {
		isBeforeReturn := s.returned == nil || entry.Sequence < s.returned.Sequence
		if entry.Process == s.owner && entry.Kind == recorder.TaskAssigned && entry.Task == s.task && isBeforeReturn {
			s.assigned = &s.entries[i]
		}
	}
	if s.assigned == nil {
		return
	}
	ofTask := func(e Entry) bool { return e.Task == s.task && e.Epoch == s.assigned.Epoch }
	for i, entry := range s.entries {
		if entry.Kind == recorder.TaskQueued && ofTask(entry) && recorder.RefersTo(s.assigned.Other, entry.Process) {
			s.agent, s.queued = entry.Process, &s.entries[i]
		}
	}
	if s.queued != nil {
		s.started = s.firstAfter(s.agent, s.queued, recorder.TaskStarted, ofTask)
		s.ended = s.firstAfter(s.agent, s.queued, recorder.TaskEnded, ofTask)
	}
	if s.ended == nil {
		s.refused = s.findRefusal(ofTask)
	}
}

// findRefusal returns the last refusal of the task by the agent of its last assignment, or nil.
func (s *summarizer) findRefusal(ofTask func(Entry) bool) *Entry {
	var refused *Entry
	for i, entry := range s.entries {
		if entry.Kind == recorder.TaskRefused && ofTask(entry) && recorder.RefersTo(s.assigned.Other, entry.Process) {
			refused = &s.entries[i]
		}
	}
	return refused
}

// last returns the last matching entry of kind at process, or nil.
func (s *summarizer) last(process string, kind recorder.Kind, matches func(Entry) bool) *Entry {
	var last *Entry
	for i, entry := range s.entries {
		if entry.Process == process && entry.Kind == kind && matches(entry) {
			last = &s.entries[i]
		}
	}
	return last
}

// durationBetween returns the time between two entries of the same process. When to is nil, the process's last entry
// takes its place.
func (s *summarizer) durationBetween(from, to *Entry) time.Duration {
	if to == nil {
		to = from
		for i, entry := range s.entries {
			if entry.Process == from.Process {
				to = &s.entries[i]
			}
		}
	}
	return to.At.Sub(from.At)
}

// countTasks returns the number of distinct tasks in the entries.
func (s *summarizer) countTasks() int {
	tasks := make(map[string]bool)
	for _, entry := range s.entries {
		if entry.Task != "" {
			tasks[entry.Task] = true
		}
	}
	return len(tasks)
}

// isRefused reports whether the last assignment of the task was refused. The task then waits at the entry again.
func (s *summarizer) isRefused() bool {
	return s.refused != nil || s.returned != nil && recorder.IsRefusal(s.returned.Event)
}

// refusals counts the refusals that entries received, because agents do not record every refusal.
func (s *summarizer) refusals() []Refusal {
	var found []Refusal
	position := make(map[string]int)
	for _, entry := range s.entries {
		if !recorder.IsRefusal(entry.Event) {
			continue
		}
		cause := recorder.RefusalCause(entry.Event)
		i, ok := position[cause]
		if !ok {
			i = len(found)
			position[cause] = i
			found = append(found, Refusal{Cause: cause})
		}
		found[i].Tasks++
	}
	return found
}
