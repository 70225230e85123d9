package jobrecorder

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// Recorder applies committed commands. It is used by one goroutine.
type Recorder struct {
	// Retention is how long an ended job is remembered.
	Retention time.Duration

	now            time.Time // the log's clock, from time.Unix(0, 0)
	manifest       *specifier.Manifest
	jobs           map[string]*Record
	endedJobs      []string // IDs of ended jobs, oldest first
	enrolledAgents map[string]bool
}

// New returns the empty state.
func New(retention time.Duration) *Recorder {
	return &Recorder{Retention: retention, now: time.Unix(0, 0), manifest: &specifier.Manifest{},
		jobs: make(map[string]*Record), enrolledAgents: make(map[string]bool)}
}

// Manifest returns the one in force. It must not be changed; Version is 0 before the first.
func (r *Recorder) Manifest() *specifier.Manifest { return r.manifest }

// Job returns the record of a job, or nil. It must not be changed.
func (r *Recorder) Job(id string) *Record { return r.jobs[id] }

// OpenJobs returns the IDs of all jobs that have not ended, sorted.
func (r *Recorder) OpenJobs() []string {
	var ids []string
	for id, record := range r.jobs {
		if !record.State.Ended() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Enrolled reports whether the agent may run tasks.
func (r *Recorder) Enrolled(agent string) bool { return r.enrolledAgents[agent] }

// EnrolledAgents returns the agents that may run tasks, sorted.
func (r *Recorder) EnrolledAgents() []string { return slices.Sorted(maps.Keys(r.enrolledAgents)) }

// Apply applies one command.
func (r *Recorder) Apply(command specifier.QueueCommand) {
	r.now = r.now.Add(max(command.Advance, 0))
	r.expire()
	switch {
	case command.Manifest != nil:
		if command.Manifest.Version > r.manifest.Version {
			r.manifest = command.Manifest
		}
	case command.Accept != nil:
		if r.jobs[command.Accept.ID] == nil {
			r.jobs[command.Accept.ID] = newRecord(*command.Accept)
		}
	case command.Cancel != "":
		r.endJob(command.Cancel, specifier.JobCancelled)
	case command.Enroll != "":
		r.enrolledAgents[command.Enroll] = true
	case command.Dismiss != "":
		delete(r.enrolledAgents, command.Dismiss)
	}
	for _, end := range command.Ends {
		r.recordEnd(end)
	}
}

// note counts an end of a task. The end of a run that has been counted, of a task that is done, or of a job that has ended changes
// nothing: successive leaders may record the same end.
func (r *Recorder) recordEnd(end specifier.TaskEnd) {
	record := r.jobs[end.Job]
	if record == nil || !record.ChangedBy(end) {
		return
	}
	record.State = specifier.JobRunning
	switch end.How {
	case specifier.EndDone:
		record.Done[end.Step][end.Index] = true
		if record.remaining--; record.remaining == 0 {
			r.endJob(end.Job, specifier.JobCompleted)
		}
	case specifier.EndFailed:
		task := position{end.Step, end.Index}
		record.failed[task] = append(record.failed[task], end.Run)
		if len(record.failed[task]) >= r.maxAttempts(record.Job.Queue) {
			r.endJob(end.Job, specifier.JobFailed)
		}
	}
}

// attempts returns how many runs of a task of the queue may fail. A queue that was removed keeps one.
func (r *Recorder) maxAttempts(queue string) int {
	settings, _ := r.manifest.Named(queue)
	return max(settings.MaxAttempts, 1)
}

func (r *Recorder) endJob(id string, state specifier.QueueState) {
	record := r.jobs[id]
	if record == nil || record.State.Ended() {
		return
	}
	record.end(state, r.now)
	r.endedJobs = append(r.endedJobs, id)
}

// forget drops the jobs that ended long ago.
func (r *Recorder) expire() {
	for len(r.endedJobs) > 0 && r.jobs[r.endedJobs[0]].Ended.Add(r.Retention).Before(r.now) {
		delete(r.jobs, r.endedJobs[0])
		r.endedJobs = r.endedJobs[1:]
	}
}
