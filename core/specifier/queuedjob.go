package specifier

import (
	"slices"
	"time"
)

// Bounds of a queued job.
const (
	MaxQueuedSteps   = 256
	MaxQueuedTasks   = 4096
	MaxQueuedContent = 64 << 10 // bytes
	MaxQueuedID      = 64       // bytes
)

// QueuedJob is work that a caller hands to a queue. One that is not transient is recorded before it is
// accepted, and is finished without its caller.
type QueuedJob struct {
	ID        string // unique among all queues
	Queue     string // name
	Content   string // handed to every task
	Steps     []Step
	Transient bool // answered when it has ended; lost with the leading controller
}

// Tasks returns the number of tasks.
func (j QueuedJob) TaskCount() int {
	total := 0
	for _, step := range j.Steps {
		total += step.Count
	}
	return total
}

// Ideal returns the run time of the longest chain of steps, by their estimates.
func (j QueuedJob) IdealRunTime() time.Duration {
	var longest time.Duration
	chains := make([]time.Duration, len(j.Steps))
	for number, step := range j.Steps {
		for _, before := range step.After {
			chains[number] = max(chains[number], chains[before])
		}
		chains[number] += step.Estimate
		longest = max(longest, chains[number])
	}
	return longest
}

// Check returns what is wrong with the job.
func (j QueuedJob) Check() *Problems {
	p := &Problems{}
	between(p, "ID", len(j.ID), 1, MaxQueuedID)
	between(p, "Content", len(j.Content), 0, MaxQueuedContent)
	between(p, "Steps", len(j.Steps), 1, MaxQueuedSteps)
	if len(j.Steps) > MaxQueuedSteps {
		return p
	}
	for i, step := range j.Steps {
		field := indexed("Steps", i)
		between(p, field+".Count", step.Count, 1, MaxQueuedTasks)
		between(p, field+".Room.MilliCores", step.Resources.MilliCores, 0, 1<<30)
		between(p, field+".Room.Memory", step.Resources.Memory, 0, 1<<30)
		between(p, field+".Room.Accelerators", step.Resources.Accelerators, 0, 1<<30)
		between(p, field+".PerWorker", step.PerWorker, 0, MaxQueuedTasks)
		between(p, field+".Estimate", step.Estimate, 0, MaxAdvance)
		if slices.ContainsFunc(step.After, func(before int) bool { return before < 0 || before >= i }) {
			p.Add(field+".After", "names a step that is not an earlier one")
		}
	}
	if p.OrNil() == nil {
		between(p, "Steps", j.TaskCount(), 1, MaxQueuedTasks)
	}
	return p.OrNil()
}
