package merger

import (
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// linkAssignments links TaskAssigned at an entry to the arrival of the task at the agent.
func (f *linkFinder) linkAssignments(key specifier.TaskKey) {
	assigned := f.eventsOf(key, recorder.TaskAssigned)
	atAgent := f.eventsOf(key, recorder.TaskQueued, recorder.TaskStarted, recorder.TaskEnded, recorder.TaskRefused)
	for _, group := range f.byProcessAndEpoch(atAgent) {
		agent := f.events[group[0]]
		sent := f.filter(assigned, func(e recorder.Event) bool {
			return e.Epoch == agent.Epoch && recorder.RefersTo(e.Other, agent.Process)
		})
		f.pair(sent, f.arrivals(group))
	}
}

// arrivals returns the events that show the arrival of a task, from the events of one agent and epoch: the first event,
// each event that queues the task, and each refusal while the agent does not have the task.
func (f *linkFinder) arrivals(group []int) []int {
	var arrived []int
	hasTask := false
	for n, i := range group {
		isRefused := f.events[i].Kind == recorder.TaskRefused
		if n == 0 || f.events[i].Kind == recorder.TaskQueued || isRefused && !hasTask {
			arrived = append(arrived, i)
		}
		hasTask = !isRefused
	}
	return arrived
}

// linkReturns links the agent's result or refusal to TaskReturned at the entry. Results and the refusals of each
// cause are counted separately, because an agent does not record the refusal of a task that it never had. An owner
// that took the job over also receives the results of earlier epochs.
func (f *linkFinder) linkReturns(key specifier.TaskKey) {
	ended, refused := f.eventsOf(key, recorder.TaskEnded), f.eventsOf(key, recorder.TaskRefused)
	for _, group := range f.byProcessAndEpoch(f.eventsOf(key, recorder.TaskReturned)) {
		results := f.filter(group, func(e recorder.Event) bool { return !recorder.IsRefusal(e) })
		f.linkReplies(ended, results)
		f.linkRefusals(refused, f.filter(group, recorder.IsRefusal))
		f.linkResultAfterTakeover(ended, results)
	}
}

// linkRefusals pairs the refusals at the agents with the returns at the entry, separately for each cause.
func (f *linkFinder) linkRefusals(refused, returned []int) {
	seen := make(map[string]bool)
	for _, i := range refused {
		cause := f.events[i].Detail
		if seen[cause] {
			continue
		}
		seen[cause] = true
		f.linkReplies(
			f.filter(refused, func(e recorder.Event) bool { return e.Detail == cause }),
			f.filter(returned, func(e recorder.Event) bool { return e.Detail == recorder.RefusedDetail(cause) }))
	}
}

// linkReplies pairs the replies that each agent recorded with the returns from that agent at the entry, under the
// same epoch.
func (f *linkFinder) linkReplies(replied, returned []int) {
	for _, replies := range f.byProcessAndEpoch(replied) {
		agent := f.events[replies[0]]
		f.pair(replies, f.filter(returned, func(e recorder.Event) bool {
			return e.Epoch == agent.Epoch && recorder.RefersTo(e.Other, agent.Process)
		}))
	}
}

// linkResultAfterTakeover links the end of a task under an earlier epoch to the first result that the new owner
// received. It adds nothing when the task ended more than once at that agent.
func (f *linkFinder) linkResultAfterTakeover(ended, results []int) {
	if len(results) == 0 {
		return
	}
	entry := f.events[results[0]]
	atAgent := f.filter(ended, func(e recorder.Event) bool { return recorder.RefersTo(entry.Other, e.Process) })
	if len(atAgent) == 1 && f.events[atAgent[0]].Epoch < entry.Epoch {
		f.add(atAgent[0], results[0])
	}
}

// linkCompletions links the end of a task to each Complete answer of its job. It adds nothing when the task ended
// more than once.
func (f *linkFinder) linkCompletions(key specifier.TaskKey) {
	ended := f.eventsOf(key, recorder.TaskEnded)
	if len(ended) != 1 {
		return
	}
	for _, i := range f.jobEventsOf(key.Job, recorder.JobAnswered) {
		if recorder.ParseAnswer(f.events[i].Detail).Outcome == specifier.Complete {
			f.add(ended[0], i)
		}
	}
}
