package specifier

import (
	"slices"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Bounds of a queued job.
const (
	MaxQueuedSteps   = 256
	MaxQueuedTasks   = 4096
	MaxQueuedContent = 64 << 10 // bytes
	MaxQueuedID      = 64       // bytes
)

// QueuedJob is a job that a caller submits to a queue. A job that is not transient is recorded before it
// is accepted, and is finished even when its caller has disconnected.
type QueuedJob struct {
	ID        string // unique among all queues
	Queue     string // name
	Content   string // passed to every task
	Steps     []Step
	Transient bool // the caller is answered when the job has ended; the job is lost with the leading controller
	// Terms is the queue as it was when the job was recorded. They hold while the manifest does not define the queue. Without a name, they are not known.
	Terms Queue
}

// BelongsTo reports whether the job came through the queue, or through one of another name at the same host and prefix.
func (j QueuedJob) BelongsTo(queue Queue) bool {
	return j.Queue == queue.Name || j.Terms.Name != "" && j.Terms.Host == queue.Host && j.Terms.Prefix == queue.Prefix
}

// SubmittedAt reports whether the job was submitted with that host and path.
func (j QueuedJob) SubmittedAt(host, path string) bool {
	return j.Terms.Name != "" && j.Terms.Host == host && j.Terms.Prefix+j.ID == path
}

// TaskCount returns the number of tasks.
func (j QueuedJob) TaskCount() int {
	total := 0
	for _, step := range j.Steps {
		total += step.Count
	}
	return total
}

// IdealRunTime returns the run time of the longest chain of steps, by their estimates.
func (j QueuedJob) IdealRunTime() time.Duration {
	var longest time.Duration
	chains := make([]time.Duration, len(j.Steps))
	for number, step := range j.Steps {
		for _, before := range step.After {
			if before >= 0 && before < number { // others are reported by Check
				chains[number] = max(chains[number], chains[before])
			}
		}
		chains[number] += step.Estimate
		longest = max(longest, chains[number])
	}
	return longest
}

// Check returns every problem of the job's fields, or nil.
func (j QueuedJob) Check() *Problems {
	p := &Problems{}
	checkRange(p, "ID", len(j.ID), 1, MaxQueuedID)
	checkRange(p, "Content", len(j.Content), 0, MaxQueuedContent)
	checkRange(p, "Steps", len(j.Steps), 1, MaxQueuedSteps)
	if len(j.Steps) > MaxQueuedSteps {
		return p
	}
	for i, step := range j.Steps {
		field := indexed("Steps", i)
		checkRange(p, field+".Count", step.Count, 1, MaxQueuedTasks)
		checkRange(p, field+".Room.MilliCores", step.Resources.MilliCores, 0, 1<<30)
		checkRange(p, field+".Room.Memory", step.Resources.Memory, 0, 1<<30)
		checkRange(p, field+".Room.Accelerators", step.Resources.Accelerators, 0, 1<<30)
		checkRange(p, field+".PerWorker", step.PerWorker, 0, MaxQueuedTasks)
		checkRange(p, field+".Estimate", step.Estimate, 0, MaxAdvance)
		if slices.ContainsFunc(step.After, func(before int) bool { return before < 0 || before >= i }) {
			p.Add(field+".After", "names a step that is not an earlier one")
		}
	}
	if p.OrNil() == nil {
		checkRange(p, "Steps", j.TaskCount(), 1, MaxQueuedTasks)
	}
	return p.OrNil()
}

// checkText returns an error for text that is not valid UTF-8.
func (j QueuedJob) checkText() error {
	texts := []string{j.ID, j.Queue, j.Content}
	for _, step := range j.Steps {
		texts = append(texts, step.Label, step.DataRack)
	}
	if slices.ContainsFunc(texts, func(text string) bool { return !utf8.ValidString(text) }) {
		return errors.New("a text of the job is not valid UTF-8")
	}
	return nil
}
