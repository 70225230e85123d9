package jobrecorder

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/container"
	"oleandertally/core/specifier"
)

// Recorder applies committed commands to the state. It must be used by one goroutine only.
type Recorder struct {
	// Retention is how long the record of an ended job is kept.
	Retention time.Duration

	now            time.Time // the log's clock, which starts at time.Unix(0, 0) and advances by commands
	manifest       *specifier.Manifest
	jobs           map[string]*Record
	recordedBytes  int      // size of all records
	endedJobs      []string // IDs of ended jobs, oldest first
	enrolledAgents map[string]bool
	announced      map[string]time.Time          // until when each announced job is remembered
	announcements  container.Queue[announcement] // oldest first; those that were announced again are void
	announcing     bool                          // leaders have announced every transient job that may run

	evacuatedZones    map[string]bool // availability zones in which no task may be started
	evacuationVersion uint64          // number of changes of evacuatedZones
}

// announcedFor is how long an announced job is remembered. The leader announces a job again while it lives.
const announcedFor = time.Minute

// New returns a Recorder with the empty state.
func New(retention time.Duration) *Recorder {
	return &Recorder{Retention: retention, now: time.Unix(0, 0), manifest: &specifier.Manifest{},
		jobs: make(map[string]*Record), enrolledAgents: make(map[string]bool), announced: make(map[string]time.Time),
		evacuatedZones: make(map[string]bool)}
}

// Manifest returns the current manifest, which must not be modified. Its Version is 0 before the first one is applied.
func (r *Recorder) Manifest() *specifier.Manifest { return r.manifest }

// Job returns the record of a job, or nil. The record must not be modified.
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

// Announced reports whether a leader may have started the transient job.
func (r *Recorder) Announced(id string) bool {
	_, known := r.announced[id]
	return known
}

// Announcing reports whether every transient job that may run, or be started, has been announced.
func (r *Recorder) Announcing() bool { return r.announcing }

// Apply applies one command.
func (r *Recorder) Apply(command specifier.QueueCommand) {
	r.now = r.now.Add(max(command.Advance, 0))
	r.expire()
	switch {
	case command.Manifest != nil:
		if command.Manifest.Version > r.manifest.Version {
			r.keepTerms()
			r.manifest = command.Manifest
		}
	case command.Accept != nil:
		if r.jobs[command.Accept.ID] == nil {
			r.add(newRecord(*command.Accept))
		}
	case command.Cancel != "":
		r.endJob(command.Cancel, specifier.JobCancelled)
	case command.Enroll != "":
		r.enrolledAgents[command.Enroll] = true
	case command.Dismiss != "":
		delete(r.enrolledAgents, command.Dismiss)
	case command.Evacuate != "":
		r.setEvacuated(command.Evacuate, true)
	case command.Restore != "":
		r.setEvacuated(command.Restore, false)
	}
	for _, end := range command.Ends {
		r.recordEnd(end)
	}
	for _, id := range command.Announced {
		r.announce(announcement{id: id, until: r.now.Add(announcedFor)})
	}
	if command.Announcing != specifier.AnnouncingUnchanged {
		r.announcing = command.Announcing == specifier.AnnouncingOn
	}
}

func (r *Recorder) announce(a announcement) {
	r.announced[a.id] = a.until
	r.announcements.Push(a)
}

// recordEnd records the end of a run. An end that is already recorded, or whose task is done or job has ended, changes
// nothing, because successive leaders may record the same end.
func (r *Recorder) recordEnd(end specifier.TaskEnd) {
	record := r.jobs[end.Job]
	if record == nil || !record.ChangedBy(end) {
		return
	}
	record.State = specifier.JobRunning
	switch end.Kind {
	case specifier.EndDone:
		record.Done[end.Step][end.Index] = true
		if record.remaining--; record.remaining == 0 {
			r.endJob(end.Job, specifier.JobCompleted)
		}
	case specifier.EndFailed:
		task := position{end.Step, end.Index}
		record.failed[task] = append(record.failed[task], end.Run)
		r.resize(record, record.size+failureOverhead)
		if len(record.failed[task]) >= max(r.QueueOf(record).MaxAttempts, 1) {
			r.endJob(end.Job, specifier.JobFailed)
		}
	}
}

// QueueOf returns the queue of a recorded job: as the manifest defines it or, when the manifest does not, as it was when the job was
// recorded.
func (r *Recorder) QueueOf(record *Record) specifier.Queue {
	if queue, known := r.manifest.QueueByName(record.Job.Queue); known {
		return queue
	}
	return record.Job.Terms
}

// keepTerms stores the present terms with the jobs that the version before has recorded without, before the manifest changes.
func (r *Recorder) keepTerms() {
	for _, record := range r.jobs {
		if record.Job.Terms.Name == "" {
			r.setTerms(record)
		}
	}
}

// setTerms stores the present terms with a job.
func (r *Recorder) setTerms(record *Record) {
	before := endedSize(record.Job)
	record.Job.Terms, _ = r.manifest.QueueByName(record.Job.Queue)
	r.resize(record, record.size+endedSize(record.Job)-before)
}

func (r *Recorder) endJob(id string, state specifier.QueueState) {
	record := r.jobs[id]
	if record == nil || record.State.Ended() {
		return
	}
	record.end(state, r.now)
	r.resize(record, endedSize(record.Job))
	r.endedJobs = append(r.endedJobs, id)
}

// expire deletes the jobs that ended longer than Retention ago, and old announcements.
func (r *Recorder) expire() {
	for first, ok := r.announcements.Peek(); ok && first.until.Before(r.now); first, ok = r.announcements.Peek() {
		r.announcements.Pop()
		if r.announced[first.id].Equal(first.until) {
			delete(r.announced, first.id)
		}
	}
	for len(r.endedJobs) > 0 && r.jobs[r.endedJobs[0]].Ended.Add(r.Retention).Before(r.now) {
		r.remove(r.endedJobs[0])
		r.endedJobs = r.endedJobs[1:]
	}
}
