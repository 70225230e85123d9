package merger

import (
	"cmp"
	"slices"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// Summary shows where the time of one job was spent and how the job was answered. The phases follow the task that was
// returned last.
type Summary struct {
	Job      specifier.JobID
	Owner    string        // the process that the phases describe
	Task     string        // empty when no task was assigned
	Tasks    int           // number of distinct tasks in the events
	Total    time.Duration // from the submission to the answer, or to the owner's last event when Answered is false
	Answered bool
	Phases   []Phase
	Answers  []Entry   // the JobAnswered events of all processes
	Refusals []Refusal // by agents, in order of appearance
	Epochs   []Entry   // the JobAccepted and JobTaken events, by epoch
}

// Summarize returns the summary of job.
func Summarize(timeline Timeline, job specifier.JobID) Summary {
	s := &summarizer{entries: timeline.Filter(recorder.Filter{Job: job}).Entries}
	s.findOwner()
	s.findTask()
	summary := Summary{Job: job, Owner: s.owner, Task: s.task}
	summary.Answers = s.filter(func(e Entry) bool { return e.Kind == recorder.JobAnswered })
	summary.Epochs = s.filter(func(e Entry) bool { return e.Kind == recorder.JobAccepted || e.Kind == recorder.JobTaken })
	slices.SortStableFunc(summary.Epochs, func(a, b Entry) int { return cmp.Compare(a.Epoch, b.Epoch) })
	summary.Tasks = s.countTasks()
	summary.Refusals = s.refusals()
	if s.submitted != nil {
		summary.Answered = s.answered != nil
		summary.Total = s.durationBetween(s.submitted, s.answered)
		summary.Phases = s.phases()
	}
	return summary
}

// Refused returns the first answer whose outcome is NotRun, or nil.
func (s Summary) Refused() *Entry {
	for i, answer := range s.Answers {
		if recorder.ParseAnswer(answer.Detail).Outcome == specifier.NotRun {
			return &s.Answers[i]
		}
	}
	return nil
}

// Longest returns the phase that took the longest, or nil.
func (s Summary) Longest() *Phase {
	var longest *Phase
	for i, phase := range s.Phases {
		if phase.State != Skipped && (longest == nil || phase.Spent > longest.Spent) {
			longest = &s.Phases[i]
		}
	}
	return longest
}
