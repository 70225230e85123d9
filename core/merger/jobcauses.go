package merger

import (
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// ownership links the proposal that led to an epoch, or its acceptance, to the acceptance of a
// later epoch. A takeover can overtake the earlier owner's decision on its way, but never the
// proposal; a key that was released was accepted first.
func (c *causes) ownership(job specifier.JobID) {
	owned := c.ofJob(job, recorder.JobAccepted, recorder.JobTaken)
	proposed := c.ofJob(job, recorder.JobProposed)
	for _, first := range owned {
		proposals := c.where(proposed, func(e recorder.Event) bool { return e.Process == c.events[first].Process })
		for _, later := range owned {
			if c.events[later].Epoch <= c.events[first].Epoch {
				continue
			}
			if len(proposals) > 0 && proposals[0] < first {
				c.add(proposals[0], later)
			}
			if c.events[later].Kind == recorder.JobAccepted {
				c.add(first, later)
			}
		}
	}
}

// fences links the acceptance of an epoch to the agents' fences at it.
func (c *causes) fences(job specifier.JobID) {
	for _, fence := range c.ofJob(job, recorder.JobFenced) {
		owned := c.where(c.ofJob(job, recorder.JobAccepted, recorder.JobTaken), func(e recorder.Event) bool {
			return e.Epoch == c.events[fence].Epoch
		})
		if len(owned) == 1 {
			c.add(owned[0], fence)
		}
	}
}

// attachments links the owner's first proposal to an attachment at another entry.
func (c *causes) attachments(job specifier.JobID) {
	proposed := c.ofJob(job, recorder.JobProposed)
	for _, attached := range c.ofJob(job, recorder.JobAttached) {
		owner := c.events[attached].Other
		sent := c.where(proposed, func(e recorder.Event) bool { return owner != "" && recorder.RefersTo(owner, e.Process) })
		if len(sent) > 0 {
			c.add(sent[0], attached)
		}
	}
}
