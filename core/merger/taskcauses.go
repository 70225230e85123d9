package merger

import (
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// assignments links TaskAssigned at an entry to the arrival of the task at the agent.
func (c *causes) assignments(key specifier.TaskKey) {
	assigned := c.of(key, recorder.TaskAssigned)
	atAgent := c.of(key, recorder.TaskQueued, recorder.TaskStarted, recorder.TaskEnded, recorder.TaskRefused)
	for _, run := range c.byRun(atAgent) {
		agent := c.events[run[0]]
		sent := c.where(assigned, func(e recorder.Event) bool {
			return e.Epoch == agent.Epoch && recorder.RefersTo(e.Other, agent.Process)
		})
		c.pair(sent, c.arrivals(run))
	}
}

// arrivals returns the events of one agent that show the arrival of a task: it is queued, or it
// is refused while it is not held.
func (c *causes) arrivals(run []int) []int {
	var arrived []int
	held := false
	for n, i := range run {
		isRefused := c.events[i].Kind == recorder.TaskRefused
		if n == 0 || c.events[i].Kind == recorder.TaskQueued || isRefused && !held {
			arrived = append(arrived, i)
		}
		held = !isRefused
	}
	return arrived
}

// returns links the agent's result or refusal to TaskReturned at the entry. Results and the
// refusals of each cause are counted apart, because an agent refuses a task that it never held
// without a record. An owner that took the job over gets the results of earlier epochs.
func (c *causes) returns(key specifier.TaskKey) {
	ended, refused := c.of(key, recorder.TaskEnded), c.of(key, recorder.TaskRefused)
	for _, run := range c.byRun(c.of(key, recorder.TaskReturned)) {
		results := c.where(run, func(e recorder.Event) bool { return !recorder.IsRefusal(e) })
		c.replies(ended, results)
		c.refusals(refused, c.where(run, recorder.IsRefusal))
		c.reported(ended, results)
	}
}

// refusals pairs the refusals of each cause.
func (c *causes) refusals(refused, returned []int) {
	seen := make(map[string]bool)
	for _, i := range refused {
		cause := c.events[i].Detail
		if seen[cause] {
			continue
		}
		seen[cause] = true
		c.replies(
			c.where(refused, func(e recorder.Event) bool { return e.Detail == cause }),
			c.where(returned, func(e recorder.Event) bool { return e.Detail == recorder.RefusedDetail(cause) }))
	}
}

// replies pairs what each agent recorded under the entry's epoch with what the entry got from it.
func (c *causes) replies(replied, returned []int) {
	for _, replies := range c.byRun(replied) {
		agent := c.events[replies[0]]
		c.pair(replies, c.where(returned, func(e recorder.Event) bool {
			return e.Epoch == agent.Epoch && recorder.RefersTo(e.Other, agent.Process)
		}))
	}
}

// reported links the only end of a task under an earlier epoch to the first result that the
// new owner got.
func (c *causes) reported(ended, results []int) {
	if len(results) == 0 {
		return
	}
	entry := c.events[results[0]]
	atPeer := c.where(ended, func(e recorder.Event) bool { return recorder.RefersTo(entry.Other, e.Process) })
	if len(atPeer) == 1 && c.events[atPeer[0]].Epoch < entry.Epoch {
		c.add(atPeer[0], results[0])
	}
}

// completions links the only end of a task to each Complete answer of its job.
func (c *causes) completions(key specifier.TaskKey) {
	ended := c.of(key, recorder.TaskEnded)
	if len(ended) != 1 {
		return
	}
	for _, i := range c.ofJob(key.Job, recorder.JobAnswered) {
		if recorder.ParseAnswer(c.events[i].Detail).Outcome == specifier.Complete {
			c.add(ended[0], i)
		}
	}
}
