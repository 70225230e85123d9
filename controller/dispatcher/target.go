package dispatcher

import (
	"strings"

	"oleandertally/core/specifier"
	"oleandertally/state/jobrecorder"
)

// target is what the host and path of a call select.
type target struct {
	queue      specifier.Queue     // as the manifest in force defines it
	queueFound bool                // the manifest in force defines a queue for the path
	id         string              // rest of the path after the queue's prefix
	record     *jobrecorder.Record // of the job; nil unless it is recorded
	job        *job                // nil unless this leader has it
}

// resolve returns what the path of a call selects. A job is found by the path that it was submitted to even if the manifest does not define
// its queue any more or another queue's prefix matches the path now: its caller knows no other path.
func (d *Dispatcher) resolve(call specifier.QueueCall) target {
	t := target{}
	t.queue, t.id, t.queueFound = d.Recorder.Manifest().QueueForPath(call.Host, call.Path)
	id, known := d.submittedAt(call.Host, call.Path)
	if !known && t.queueFound {
		id, known = t.id, d.hasJob(t.id, func(j specifier.QueuedJob) bool { return j.BelongsTo(t.queue) })
	}
	if known {
		t.record, t.job = d.Recorder.Job(id), d.jobs[id]
	}
	return t
}

// submittedAt returns the ID of the job that was submitted to a path. IDs contain no slash, but a prefix need not end with one, so that any
// end of the last segment may be the ID.
func (d *Dispatcher) submittedAt(host, path string) (string, bool) {
	segment := path[strings.LastIndexByte(path, '/')+1:]
	for at := max(len(segment)-specifier.MaxQueuedID, 0); at < len(segment); at++ {
		id := segment[at:]
		if d.hasJob(id, func(j specifier.QueuedJob) bool { return j.SubmittedAt(host, path) }) {
			return id, true
		}
	}
	return "", false
}

// hasJob reports whether there is a job of this ID, recorded or transient, that meets the condition.
func (d *Dispatcher) hasJob(id string, meets func(specifier.QueuedJob) bool) bool {
	if record := d.Recorder.Job(id); record != nil && meets(record.Job) {
		return true
	}
	j := d.jobs[id]
	return j != nil && meets(j.QueuedJob)
}

// knowsJob reports whether the path selects a job.
func (t target) knowsJob() bool { return t.record != nil || t.job != nil }
