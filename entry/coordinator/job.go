package coordinator

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// job is one submission at this entry.
type job struct {
	spec           specifier.Job
	digest         specifier.Digest
	profile        specifier.Profile
	arrival        time.Time
	undecidedSince time.Time // when the current wait for a decision began
	phase          phase
	owner          specifier.Identity // this entry's identity in the proposal
	epoch          specifier.Epoch
	replaces       specifier.Epoch    // epoch of the former owner in TakeOverJob; 0 for AcceptJob
	minRevision    specifier.Revision // configuration revision that a stale proposal waits for
	refusal        *specifier.Answer  // the answer to the callers, unless the controllers already know the key
	requests       []request
	cancelled      bool

	index          map[string]int // task ID to index in tasks
	tasks          []jobTask
	remaining      int                 // number of tasks that are not done
	maybeAnswered  bool                // a former owner may have answered with Complete
	recordMissing  bool                // the record of a departed agent can't be obtained
	finished       *specifier.Decision // set while the entry asks the owner of a finished job for its answer
	resultsOnly    bool                // the job already finished as Complete; the entry only collects its results
	memberVersion  uint64              // membership version of the decision; reports are requested once this entry knows it
	awaitedReports map[specifier.Identity]bool

	answer    specifier.Answer // while recording, the answer to be given; once answered, the answer that was given
	recorded  bool
	retryAt   time.Time
	attempts  int
	recordBy  time.Time
	keepUntil time.Time
}

func newJob(now time.Time, spec specifier.Job, digest specifier.Digest) *job {
	j := &job{spec: spec, digest: digest, arrival: now, undecidedSince: now, index: make(map[string]int, len(spec.Tasks)),
		tasks: make([]jobTask, len(spec.Tasks)), remaining: len(spec.Tasks)}
	for i, task := range spec.Tasks {
		j.index[task.ID] = i
		j.tasks[i].result.Task = task.ID
	}
	return j
}

// owned reports whether this entry runs the job or has answered it.
func (j *job) owned() bool {
	switch j.phase {
	case proposing, running, recording, answered:
		return true
	case collecting:
		return !j.resultsOnly
	}
	return false
}

// mayHaveRun reports whether a task of the job may have started.
func (j *job) mayHaveRun() bool {
	return j.recordMissing || j.remaining < len(j.tasks) ||
		slices.ContainsFunc(j.tasks, func(t jobTask) bool { return !t.agent.IsZero() })
}

// assignedAgents returns the agents to which tasks of the job are assigned, sorted.
func (j *job) assignedAgents() []specifier.Identity {
	var agents []specifier.Identity
	for _, task := range j.tasks {
		if !task.agent.IsZero() && !slices.Contains(agents, task.agent) {
			agents = append(agents, task.agent)
		}
	}
	slices.SortFunc(agents, specifier.Identity.Compare)
	return agents
}

// completeAnswer returns the Complete answer of a job whose tasks are all done.
func (j *job) completeAnswer() specifier.Answer {
	results := make([]specifier.Result, len(j.tasks))
	for i, task := range j.tasks {
		results[i] = task.result
	}
	return specifier.Answer{Outcome: specifier.Complete, Results: results}
}

// setResult sets the result of a task. Later results of the task are ignored.
func (j *job) setResult(i int, body []byte) {
	j.tasks[i].agent = specifier.Identity{}
	if j.tasks[i].done {
		return
	}
	j.tasks[i].done = true
	j.tasks[i].result.Body = body
	j.remaining--
}
