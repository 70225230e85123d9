package jobrecorder

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// Keeper applies committed commands. It is used by one goroutine.
type Keeper struct {
	// Retention is how long an ended job is remembered.
	Retention time.Duration

	now      time.Time // the log's clock, from time.Unix(0, 0)
	manifest *specifier.Manifest
	jobs     map[string]*Record
	ended    []string // IDs of ended jobs, oldest first
	roster   map[string]bool
}

// New returns the empty state.
func New(retention time.Duration) *Keeper {
	return &Keeper{Retention: retention, now: time.Unix(0, 0), manifest: &specifier.Manifest{},
		jobs: make(map[string]*Record), roster: make(map[string]bool)}
}

// Manifest returns the one in force. It must not be changed; Version is 0 before the first.
func (k *Keeper) Manifest() *specifier.Manifest { return k.manifest }

// Job returns the record of a job, or nil. It must not be changed.
func (k *Keeper) Job(id string) *Record { return k.jobs[id] }

// Open returns the IDs of all jobs that have not ended, sorted.
func (k *Keeper) Open() []string {
	var open []string
	for id, record := range k.jobs {
		if !record.State.Ended() {
			open = append(open, id)
		}
	}
	slices.Sort(open)
	return open
}

// Enrolled reports whether the agent may run tasks.
func (k *Keeper) Enrolled(agent string) bool { return k.roster[agent] }

// Roster returns the agents that may run tasks, sorted.
func (k *Keeper) Roster() []string { return slices.Sorted(maps.Keys(k.roster)) }

// Apply applies one command.
func (k *Keeper) Apply(command specifier.QueueCommand) {
	k.now = k.now.Add(max(command.Advance, 0))
	k.forget()
	switch {
	case command.Manifest != nil:
		if command.Manifest.Version > k.manifest.Version {
			k.manifest = command.Manifest
		}
	case command.Accept != nil:
		if k.jobs[command.Accept.ID] == nil {
			k.jobs[command.Accept.ID] = newRecord(*command.Accept)
		}
	case command.Cancel != "":
		k.end(command.Cancel, specifier.JobCancelled)
	case command.Enroll != "":
		k.roster[command.Enroll] = true
	case command.Dismiss != "":
		delete(k.roster, command.Dismiss)
	}
	for _, end := range command.Ends {
		k.note(end)
	}
}

// note counts an end of a task. The end of a run that has been counted, of a task that is done, or of a job that has ended changes
// nothing: successive leaders may record the same end.
func (k *Keeper) note(end specifier.TaskEnd) {
	record := k.jobs[end.Job]
	if record == nil || !record.Counts(end) {
		return
	}
	record.State = specifier.JobRunning
	switch end.How {
	case specifier.EndDone:
		record.Done[end.Step][end.Index] = true
		if record.left--; record.left == 0 {
			k.end(end.Job, specifier.JobCompleted)
		}
	case specifier.EndFailed:
		at := place{end.Step, end.Index}
		record.failed[at] = append(record.failed[at], end.Run)
		if len(record.failed[at]) >= k.attempts(record.Job.Queue) {
			k.end(end.Job, specifier.JobFailed)
		}
	}
}

// attempts returns how many runs of a task of the queue may fail. A queue that was removed keeps one.
func (k *Keeper) attempts(queue string) int {
	known, _ := k.manifest.Named(queue)
	return max(known.MaxAttempts, 1)
}

func (k *Keeper) end(id string, state specifier.QueueState) {
	record := k.jobs[id]
	if record == nil || record.State.Ended() {
		return
	}
	record.end(state, k.now)
	k.ended = append(k.ended, id)
}

// forget drops the jobs that ended long ago.
func (k *Keeper) forget() {
	for len(k.ended) > 0 && k.jobs[k.ended[0]].Ended.Add(k.Retention).Before(k.now) {
		delete(k.jobs, k.ended[0])
		k.ended = k.ended[1:]
	}
}
