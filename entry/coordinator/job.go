package coordinator

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// job is one submission at this entry.
type job struct {
	spec     specifier.Job
	digest   specifier.Digest
	profile  specifier.Profile
	arrival  time.Time
	silent   time.Time // since when the controllers have not decided
	phase    phase
	owner    specifier.Identity // this entry's identity when it proposed
	epoch    specifier.Epoch
	replaces specifier.Epoch // of the owner that is taken over; 0 for AcceptJob
	need     specifier.Revision
	refusal  *specifier.Answer // what is answered unless the key is known
	waiters  []waiting
	cancel   bool

	index    map[string]int // task id to slot
	slots    []slot
	left     int                 // slots not done
	doubtful bool                // a former owner may have completed the job and answered
	unknown  bool                // an agent left whose record can't be had
	finished *specifier.Decision // set while the owner of a finished job is asked for its answer
	fetched  bool                // finished as Complete earlier; only the results are collected
	members  uint64              // collecting waits for this version of the membership
	asked    map[specifier.Identity]bool

	answer   specifier.Answer // planned while recording, given once answered
	recorded bool
	retryAt  time.Time
	attempts int
	recordBy time.Time
	keep     time.Time
}

func newJob(now time.Time, spec specifier.Job, digest specifier.Digest) *job {
	j := &job{spec: spec, digest: digest, arrival: now, silent: now, index: make(map[string]int, len(spec.Tasks)),
		slots: make([]slot, len(spec.Tasks)), left: len(spec.Tasks)}
	for i, task := range spec.Tasks {
		j.index[task.ID] = i
		j.slots[i].result.Task = task.ID
	}
	return j
}

// owned reports whether this entry runs the job or has answered it.
func (j *job) owned() bool {
	switch j.phase {
	case proposing, running, recording, answered:
		return true
	case collecting:
		return !j.fetched
	}
	return false
}

// touched reports whether a task of the job may have started.
func (j *job) touched() bool {
	return j.unknown || j.left < len(j.slots) ||
		slices.ContainsFunc(j.slots, func(s slot) bool { return !s.held.IsZero() })
}

// holders returns the agents that hold tasks of the job, by name.
func (j *job) holders() []specifier.Identity {
	var holders []specifier.Identity
	for _, slot := range j.slots {
		if !slot.held.IsZero() && !slices.Contains(holders, slot.held) {
			holders = append(holders, slot.held)
		}
	}
	slices.SortFunc(holders, specifier.Identity.Compare)
	return holders
}

// complete returns the answer of a job whose slots are all done.
func (j *job) complete() specifier.Answer {
	results := make([]specifier.Result, len(j.slots))
	for i, slot := range j.slots {
		results[i] = slot.result
	}
	return specifier.Answer{Outcome: specifier.Complete, Results: results}
}

// finish sets the result of a slot once.
func (j *job) finish(i int, body []byte) {
	j.slots[i].held = specifier.Identity{}
	if j.slots[i].done {
		return
	}
	j.slots[i].done = true
	j.slots[i].result.Body = body
	j.left--
}
