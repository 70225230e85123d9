package merger

import (
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// linkOwnership links each epoch of a job to its later epochs. The proposal for an epoch precedes every later epoch.
// The acceptance precedes only a later JobAccepted, because a key must be accepted before it can be released and
// accepted again. It need not precede a JobTaken: a takeover can be recorded at the new owner before the decision
// reaches the earlier owner.
func (f *linkFinder) linkOwnership(job specifier.JobID) {
	owned := f.jobEventsOf(job, recorder.JobAccepted, recorder.JobTaken)
	proposed := f.jobEventsOf(job, recorder.JobProposed)
	for _, first := range owned {
		proposals := f.filter(proposed, func(e recorder.Event) bool { return e.Process == f.events[first].Process })
		for _, later := range owned {
			if f.events[later].Epoch <= f.events[first].Epoch {
				continue
			}
			if len(proposals) > 0 && proposals[0] < first {
				f.add(proposals[0], later)
			}
			if f.events[later].Kind == recorder.JobAccepted {
				f.add(first, later)
			}
		}
	}
}

// linkFences links the acceptance or takeover of an epoch to the agents' fences at that epoch.
func (f *linkFinder) linkFences(job specifier.JobID) {
	for _, fence := range f.jobEventsOf(job, recorder.JobFenced) {
		owned := f.filter(f.jobEventsOf(job, recorder.JobAccepted, recorder.JobTaken), func(e recorder.Event) bool {
			return e.Epoch == f.events[fence].Epoch
		})
		if len(owned) == 1 {
			f.add(owned[0], fence)
		}
	}
}

// linkAttachments links the owner's first proposal to an attachment at another entry.
func (f *linkFinder) linkAttachments(job specifier.JobID) {
	proposed := f.jobEventsOf(job, recorder.JobProposed)
	for _, attached := range f.jobEventsOf(job, recorder.JobAttached) {
		owner := f.events[attached].Other
		sent := f.filter(proposed, func(e recorder.Event) bool { return owner != "" && recorder.RefersTo(owner, e.Process) })
		if len(sent) > 0 {
			f.add(sent[0], attached)
		}
	}
}
